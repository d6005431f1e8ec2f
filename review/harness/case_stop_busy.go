//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// quickTarget answers after a short work time and records only the ids that reached it.
type quickTarget struct {
	id   string
	work time.Duration
	mu   sync.Mutex
	ran  map[string]bool
}

func (t *quickTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != t.id {
		w.Header().Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	t.mu.Lock()
	t.ran[id] = true
	t.mu.Unlock()
	time.Sleep(t.work)
	w.Header().Set("Response-Signature", "s-"+id)
	fmt.Fprint(w, "done")
}

func (t *quickTarget) hasRun(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// stopBusy stops machines in turn with SIGTERM while clients use kept connections, and looks for requests that a target ran and that got
// no answer.
func stopBusy(e environment) bool {
	s := startStore()
	const targetCount, conns, machines = 16, 64, 6
	var targets []*quickTarget
	s.publish(7, []string{"ledger"}, []route{{
		name: "r-post", host: "pay.example", prefix: "/post/", kind: "unsafe", service: "ledger", timeout: 2500 * time.Millisecond, attempts: 2,
	}})
	for n := range targetCount {
		t := &quickTarget{id: fmt.Sprintf("i-%d", n+1), work: 8 * time.Millisecond, ran: map[string]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("listen: %v", err)
		}
		go func() { _ = (&http.Server{Handler: t}).Serve(l) }()
		targets = append(targets, t)
		s.put("servers/"+t.id, toJSON(map[string]any{
			"Address": l.Addr().String(), "NodeInfo": map[string]any{"Service": "ledger", "Version": "v1", "Zone": "z-a", "Slots": 8},
			"Status": map[string]any{"State": "ready", "SeqNo": 1, "ColdRemaining": "0ms"}, "born": time.Now().UnixMilli(),
		}))
	}
	f := newFleet(e.root, []string{"z-a", "z-a", "z-b", "z-b", "z-c", "z-c"}, s.address())
	f.startAll()
	const (
		gap       = 1300 * time.Millisecond
		thinkTime = 50 * time.Millisecond
	)
	var next, total atomic.Int64
	var lost atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(i *instance) {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			default:
			}
			conn, err := net.DialTimeout("tcp", i.front, time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader := bufio.NewReader(conn)
			for {
				select {
				case <-stop:
					_ = conn.Close()
					return
				default:
				}
				id := fmt.Sprintf("%016x", next.Add(1))
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				sentAt := e.rec.since()
				_, err := fmt.Fprintf(conn, "POST /post/1 HTTP/1.1\r\nHost: pay.example\r\nAttempt-Id: %s\r\nTime-Budget-Ms: 5000\r\nContent-Length: 8\r\n\r\namount=1", id)
				if err != nil {
					break
				}
				resp, err := http.ReadResponse(reader, nil)
				total.Add(1)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					for _, t := range targets {
						if t.hasRun(id) {
							lost.Add(1)
							e.rec.log("request %s, sent to %s at %.6f on a kept connection, ran at %s; the connection ended without an answer: %v", id, i.name, sentAt.Seconds(), t.id, err)
						}
					}
					break
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				time.Sleep(time.Duration(rand.Int64N(int64(2 * thinkTime))))
				if err != nil || resp.Close {
					break
				}
			}
			_ = conn.Close()
		}
	}
	for _, i := range f.instances {
		for range conns {
			wg.Add(1)
			go client(i)
		}
	}
	begun := time.Now()
	terms := 0
	for n := 0; time.Since(begun) < 95*time.Second; n++ {
		time.Sleep(gap)
		if !e.trouble {
			continue
		}
		i := f.instances[n%machines]
		e.rec.log("SIGTERM to %s, %d requests sent so far", i.name, total.Load())
		terms++
		_ = i.cmd.Process.Signal(syscall.SIGTERM)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = i.cmd.Wait()
			f.start(i)
		}()
	}
	close(stop)
	wg.Wait()
	fmt.Printf("%d requests, %d stops, %d requests ran and got no answer\n", total.Load(), terms, lost.Load())
	return lost.Load() > 0
}
