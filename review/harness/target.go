//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a target.
type arrival struct {
	id, target, service, method, uri, host string
	at                                     time.Duration // since the start of the record
	ran                                    bool
	answered                               bool
	body                                   int
	tenant, key                            string
}

// ledger collects the arrivals at all targets.
type ledger struct {
	mu       sync.Mutex
	arrivals []*arrival
}

func (l *ledger) add(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]arrival, 0, len(l.arrivals))
	for _, a := range l.arrivals {
		out = append(out, *a)
	}
	return out
}

// target is a stand-in for a backend server. It writes its entry to the store; the entry changes only when more than SeqNo changes.
type target struct {
	id, service, zone string
	born              int64
	slots             int
	work              time.Duration
	rec               *recorder
	ledger            *ledger
	listener          net.Listener
	server            *http.Server
	slot              chan struct{}
	sequence          int
}

func startTarget(rec *recorder, l *ledger, id, service, zone string, slots int, work time.Duration) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	t := &target{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, work: work, rec: rec, ledger: l,
		listener: listener, slot: make(chan struct{}, slots)}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	return t
}

func (t *target) address() string { return t.listener.Addr().String() }

func (t *target) key() string { return "servers/" + t.id }

// report writes the entry with a state.
func (t *target) report(s *store, state string) {
	t.sequence++
	s.put(t.key(), toJSON(map[string]any{
		"Address":  t.address(),
		"NodeInfo": map[string]any{"Service": t.service, "Version": "v1", "Zone": t.zone, "Slots": t.slots},
		"Status":   map[string]any{"State": state, "SeqNo": t.sequence, "ColdRemaining": "0ms"},
		"born":     t.born,
	}))
	t.rec.log("the store acknowledged: target %s is %s", t.id, state)
}

// leave removes the entry; the target goes on serving until exit.
func (t *target) leave(s *store) {
	s.remove(t.key())
	t.rec.log("the store acknowledged: the entry of target %s is removed", t.id)
}

// exit ends the target as a process that ends does.
func (t *target) exit() {
	_ = t.server.Close()
	t.rec.log("target %s ended", t.id)
}

// crash ends the target without notice; its address then refuses connections.
func (t *target) crash() {
	_ = t.server.Close()
	t.rec.log("target %s crashed", t.id)
}

// restart starts the target again at its address, as a new lifetime under another id.
func (t *target) restart() {
	listener, err := net.Listen("tcp", t.address())
	if err != nil {
		fail("listen: %v", err)
	}
	t.id, t.born, t.sequence = t.id+"b", time.Now().UnixMilli(), 0
	t.listener, t.server = listener, &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	t.rec.log("target %s is back", t.id)
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Instance-Id", t.id)
		w.Header().Set("Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{id: id, target: t.id, service: t.service, method: r.Method, uri: r.RequestURI, host: r.Host, at: t.rec.since(),
		tenant: r.Header.Get("Tenant"), key: r.Header.Get("Key")}
	t.ledger.add(a)
	select {
	case t.slot <- struct{}{}:
		defer func() { <-t.slot }()
	case <-time.After(50 * time.Millisecond):
		t.rec.log("request %s reaches target %s, which rejects it", id, t.id)
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.ledger.mu.Lock()
	a.ran, a.body = true, len(body)
	t.ledger.mu.Unlock()
	t.rec.log("target %s runs request %s: %s %s", t.id, id, r.Method, r.RequestURI)
	ctx, cancel := context.WithTimeout(r.Context(), t.work)
	defer cancel()
	<-ctx.Done()
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "signature-"+t.id+"-"+id)
	fmt.Fprintf(w, "answer of %s to %s", t.id, id)
	t.ledger.mu.Lock()
	a.answered = true
	t.ledger.mu.Unlock()
}
