//go:build review

package main

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storePageItems = 500
	storeDelay     = 4 * time.Millisecond
)

// item is a key of the store with its value, or a change of it.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreatedAt uint64 `json:",omitempty"`
	Lease     uint64
	Deleted   bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. It loses nothing and its answers are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	// silent is not nil while the store answers nothing; it is closed when it answers again.
	silent chan struct{}
	// cut is closed and replaced to cut the watches that wait.
	cut      chan struct{}
	listener net.Listener
}

func startStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	s := &store{revision: 100, items: map[string]item{}, changed: make(chan struct{}), cut: make(chan struct{}), listener: l}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, exists := s.items[key]; exists {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created}
	s.items[key] = i
	s.append(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the store answer nothing, also on the connections that wait, or serve again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent == (s.silent != nil) {
		return
	}
	if silent {
		s.silent = make(chan struct{})
		return
	}
	close(s.silent)
	s.silent = nil
}

// cutWatches cuts the watches that wait now.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// hang holds a call that arrived while the store is silent until its caller leaves: a connection on which a response is lost returns
// nothing further.
func (s *store) hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent != nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		s.hang(r)
	}
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), storePageItems)] {
		items = append(items, s.items[key])
	}
	at := s.revision
	s.mu.Unlock()
	s.answer(w, r, map[string]any{"items": items, "HasMore": more, "At": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("MaxWaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("PathPrefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.answer(w, r, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-timeout:
			s.answer(w, r, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer sends an answer, unless the store is silent.
func (s *store) answer(w http.ResponseWriter, r *http.Request, v any) {
	if s.isSilent() {
		s.hang(r)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(toJSON(v))
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout                           time.Duration
	attempts                          int
	public                            bool
}

// publish writes a version of the configuration.
func (s *store) publish(version int, services []string, routes []route, more ...any) {
	var resources []any
	for _, r := range routes {
		resources = append(resources, map[string]any{"ResourceKind": "Routes", "Metadata": map[string]any{"Name": r.name}, "Specification": map[string]any{
			"Host": r.host, "PathPrefix": r.prefix, "Kind": r.kind, "Timeout": strconv.FormatInt(r.timeout.Milliseconds(), 10) + "ms",
			"LatencyGoal": "1200ms", "Priority": 1, "Service": r.service, "MaxAttempts": r.attempts, "Public": r.public,
		}})
	}
	for _, name := range services {
		resources = append(resources, map[string]any{"ResourceKind": "Services", "Metadata": map[string]any{"Name": name}, "Specification": map[string]any{
			"HealthPath": "/health", "MaxConnections": 330, "Protocol": "h1", "Tls": false,
		}})
	}
	resources = append(resources, more...)
	resources = append(resources, map[string]any{"ResourceKind": "Limits", "Metadata": map[string]any{}, "Specification": map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms",
	}})
	s.put("op/config", toJSON(map[string]any{"Version": version, "Resources": resources}))
}
