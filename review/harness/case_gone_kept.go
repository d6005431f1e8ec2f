//go:build review

package main

import (
	"fmt"
	"time"
)

// goneKept removes the entry of a target while the store is sound, between two short outages of the store, and looks for requests that
// reach the target long after.
func goneKept(e environment) bool {
	s := startStore()
	l := &ledger{}
	var targets []*target
	for n, zone := range []string{"z-a", "z-b", "z-a", "z-b"} {
		targets = append(targets, startTarget(e.rec, l, fmt.Sprintf("i-%d", n+1), "ledger", zone, 4, 300*time.Millisecond))
	}
	s.publish(7, []string{"ledger"}, []route{{
		name: "r-post", host: "pay.example", prefix: "/post/", kind: "unsafe", service: "ledger", timeout: 2500 * time.Millisecond, attempts: 2,
	}})
	for _, t := range targets {
		t.report(s, "ready")
	}
	f := newFleet(e.root, []string{"z-a", "z-b", "z-b"}, s.address())
	f.startAll()
	c := newClients(e.rec)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c.drive(f, 30, stop, func(i *instance) {
			c.send(i, "pay.example", "POST", "/post/1", []byte("amount=1"), 5*time.Second, nil)
		})
	}()
	start := e.rec.since()
	at := func(d time.Duration) { time.Sleep(start + d - e.rec.since()) }
	outage := func(d time.Duration) {
		if !e.trouble {
			return
		}
		e.rec.log("the store is silent for %v", d)
		s.setSilent(true)
		time.AfterFunc(d, func() {
			s.setSilent(false)
			e.rec.log("the store answers again")
		})
	}
	const outageTime = 2 * time.Second
	at(2 * time.Second)
	outage(outageTime)
	// The store is sound for Contact and longer.
	at(10 * time.Second)
	gone := targets[3]
	gone.leave(s)
	acked := e.rec.since()
	at(10*time.Second + 800*time.Millisecond)
	outage(outageTime)
	// The machines are in touch again Contact after the end of the outage.
	inTouch := start + 10*time.Second + 800*time.Millisecond + outageTime + contact
	at(25 * time.Second)
	exited := e.rec.since()
	gone.exit()
	at(27 * time.Second)
	close(stop)
	<-done
	byID := map[string]sent{}
	for _, x := range c.list() {
		byID[x.id] = x
	}
	late, lost := 0, 0
	for _, a := range l.all() {
		x := byID[a.id]
		if a.target != gone.id || a.at <= acked+drainBound || x.at < inTouch {
			continue
		}
		late++
		if a.ran && !a.answered && x.ended >= exited {
			lost++
			e.rec.log("request %s ran at %s when that ended; the client got %d %s", a.id, a.target, x.status, x.err)
		}
	}
	e.rec.log("%d requests sent by machines in touch reached %s later than %v after the ack of its leaving (at %.3f); %d of them ran there when it ended",
		late, gone.id, drainBound, acked.Seconds(), lost)
	fmt.Printf("%d late requests, %d of them lost\n", late, lost)
	return late > 0
}
