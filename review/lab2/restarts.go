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

func init() { cases["restarts"] = playRestarts }

const (
	rolls         = 3
	rollGap       = 2 * time.Second // between two machines
	rollPause     = 10 * time.Second
	returnsEvery  = 2 * time.Second
	returnedBytes = 1000 // of the body of the request that comes again
)

// restartsCase is a request that crashes servers, before machines that are stopped and started in turn.
type restartsCase struct {
	l    *lab
	done chan struct{}

	mu      sync.Mutex
	crashes []time.Time
	// disturbedAt is when each machine was last stopped or started.
	disturbedAt []time.Time
	late        int
}

// playRestarts sends a request again and again, at all instances in turn, that crashes each server that runs it, and stops and starts the
// machines in turn, as planned. It may not reach servers in more than three retries that machines in touch send later than contact after the
// third crash. Without the trouble, no machine is stopped.
func playRestarts(l *lab, trouble bool) (broken bool, err error) {
	c := &restartsCase{l: l, done: make(chan struct{})}
	for i := range 8 {
		s, err := l.startServer(fmt.Sprintf("server-%d", i+1), "orders", 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.onRun = c.onRun
	}
	l.publish(3, route{name: "submit", prefix: "/submit/", kind: "unsafe", service: "orders", timeout: "1200ms", maxAttempts: 2})
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	c.disturbedAt = make([]time.Time, len(l.instances))
	time.Sleep(2 * time.Second)
	var caller sync.WaitGroup
	caller.Go(c.sendAgain)
	time.Sleep(rollPause)
	for range rolls {
		for i, in := range l.instances {
			if trouble {
				if err := c.restart(i, in); err != nil {
					return false, err
				}
			}
			time.Sleep(rollGap)
		}
		time.Sleep(rollPause)
	}
	close(c.done)
	caller.Wait()
	l.note("%d crashes; %d retries by machines in touch reached servers later than contact after the third", len(c.crashes), c.late)
	return c.late > 3, nil
}

func (c *restartsCase) onRun(s *server, r *http.Request, body []byte) (crashes bool) {
	if !bytes.HasPrefix(body, []byte(crashContent)) {
		return false
	}
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	c.l.note("%s crashes while it runs %s", s.id, r.Header.Get("Attempt-Id"))
	c.l.crash(s, downTime)
	return true
}

// restart stops and starts a machine's process.
func (c *restartsCase) restart(i int, in *instance) error {
	c.l.note("%s gets SIGTERM", in.name)
	c.disturb(i)
	in.stop()
	time.Sleep(restartDelay)
	if err := in.start(); err != nil {
		return err
	}
	c.disturb(i)
	if !in.waitReady(readyTimeout) {
		return errNotReady
	}
	c.l.note("%s is ready", in.name)
	return nil
}

func (c *restartsCase) disturb(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedAt[i] = time.Now()
}

// sendAgain sends the request until done is closed.
func (c *restartsCase) sendAgain() {
	body := crashContent + strings.Repeat("m", returnedBytes-len(crashContent))
	for n := 0; ; n++ {
		i := n % len(c.l.instances)
		in := c.l.instances[i]
		r := request{id: fmt.Sprintf("again-%d", n), method: "POST", target: "/submit/1", body: body}
		counts := c.counts(i)
		a := in.send(r)
		hasRun := c.l.hasRun(r.id)
		c.l.note("%s to %s: %v; has run: %t, counts: %t", r.id, in.name, a, hasRun, counts)
		if counts && hasRun {
			c.mu.Lock()
			c.late++
			c.mu.Unlock()
		}
		select {
		case <-c.done:
			return
		case <-time.After(returnsEvery):
		}
	}
}

// counts reports whether a request sent now by a machine counts: it is in touch, and the third crash is longer than contact ago.
func (c *restartsCase) counts(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes) >= 3 && time.Since(c.crashes[2]) > contact && time.Since(c.disturbedAt[i]) > contact
}
