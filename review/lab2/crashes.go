//go:build review2

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["crashes"] = largeCrash.play
	cases["shared"] = sharedCrash.play
}

// crashCase is a request that crashes each server that runs it, among proper requests.
type crashCase struct {
	kind string // of the route
	// again returns the request that comes again, and proper the others.
	again, proper func(n int) request
	// crashes reports whether a request is the one that crashes servers.
	crashes func(r *http.Request, body []byte) bool
}

// largeCrash comes with a body of crashBytes.
var largeCrash = crashCase{
	kind: "unsafe",
	again: func(n int) request {
		body := crashContent + strings.Repeat("m", crashBytes-len(crashContent))
		return request{id: fmt.Sprintf("again-%d", n), method: "POST", target: "/submit/1", body: body}
	},
	proper: func(n int) request {
		body := fmt.Sprintf("order %d", n)
		return request{id: fmt.Sprintf("proper-%d", n), method: "POST", target: fmt.Sprintf("/submit/order/%d", n), body: body}
	},
	crashes: func(_ *http.Request, body []byte) bool { return bytes.HasPrefix(body, []byte(crashContent)) },
}

// sharedCrash has the path of requests that other callers send, and no body. It is the caller's cookie that crashes servers.
var sharedCrash = crashCase{
	kind: "safe",
	again: func(n int) request {
		return request{id: fmt.Sprintf("again-%d", n), method: "GET", target: "/submit/1", cookie: crashContent}
	},
	proper: func(n int) request {
		return request{
			id: fmt.Sprintf("proper-%d", n), method: "GET", target: fmt.Sprintf("/submit/%d", n%sharedPaths), cookie: fmt.Sprintf("caller-%d", n%callerCount),
		}
	},
	crashes: func(r *http.Request, _ []byte) bool { return r.Header.Get("Cookie") == crashContent },
}

const (
	contact      = 3 * time.Second
	crashTime    = 40 * time.Second // in which the request comes again and again
	comesEvery   = time.Second
	downTime     = 3 * time.Second
	crashBytes   = 100_000 // of its body
	properEvery  = 20 * time.Millisecond
	crashContent = "crash"
	sharedPaths  = 5 // among which proper requests choose
	callerCount  = 40
)

// play sends one request again and again, at all instances in turn, that crashes each server that runs it, among proper ones. It
// may not reach servers in more than three retries that are sent later than contact after the third crash. Without the trouble, the same
// request does no harm.
func (k crashCase) play(l *lab, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 8 {
		s, err := l.startServer(fmt.Sprintf("server-%d", i+1), "orders", 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = func(s *server, r *http.Request, body []byte) bool {
			if !trouble || !k.crashes(r, body) {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			l.note("%s crashes while it runs %s", s.id, r.Header.Get("Attempt-Id"))
			l.crash(s, downTime)
			return true
		}
	}
	l.publish(3, route{name: "submit", prefix: "/submit/", kind: k.kind, service: "orders", timeout: "1200ms", maxAttempts: 2})
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var callers sync.WaitGroup
	refused, failed := 0, 0
	callers.Go(func() { refused, failed = l.sendProper(done, k.proper) })
	var late, sent int
	var from time.Time // contact after the third crash
	for end := time.Now().Add(crashTime); time.Now().Before(end); time.Sleep(comesEvery) {
		mu.Lock()
		if from.IsZero() && len(crashes) >= 3 {
			from = crashes[2].Add(contact)
		}
		mu.Unlock()
		isLate := !from.IsZero() && time.Now().After(from)
		in := l.instances[sent%len(l.instances)]
		r := k.again(sent)
		sent++
		a := in.send(r)
		hasRun := l.hasRun(r.id)
		l.note("%s, %d bytes, to %s: %v; has run: %t, later than contact after the third crash: %t", r.id, len(r.body), in.name, a, hasRun, isLate)
		if isLate && hasRun {
			late++
		}
	}
	close(done)
	callers.Wait()
	l.note("%d crashes; %d retries reached servers later than contact after the third; of the proper requests %d were refused and %d failed",
		len(crashes), late, refused, failed)
	return late > 3, nil
}

// hasRun reports whether a server ran the request.
func (l *lab) hasRun(id string) bool {
	for _, r := range l.runs() {
		if r.id == id {
			return true
		}
	}
	return false
}

// sendProper sends proper requests until done is closed, and returns how many were refused (503) and how many failed otherwise.
func (l *lab) sendProper(done <-chan struct{}, proper func(n int) request) (refused, failed int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	ticker := time.NewTicker(properEvery)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			callers.Wait()
			return refused, failed
		case <-ticker.C:
		}
		callers.Go(func() {
			r := proper(i)
			a := l.instances[i%len(l.instances)].send(r)
			if a.status == http.StatusOK {
				return
			}
			l.note("%s %s %s: %v", r.id, r.method, r.target, a)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusServiceUnavailable {
				refused++
				return
			}
			failed++
		})
	}
}
