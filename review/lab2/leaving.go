//go:build review2

package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

const (
	drain = 2 * time.Second // the bound of the rule
	// serverCut and storeCut are how long the machine is cut off from the servers and from the store.
	serverCut = 4500 * time.Millisecond
	storeCut  = 5500 * time.Millisecond
	// leaveAfter is the time from the cuts to the leaving of the first server, which goes on serving for servesOn.
	leaveAfter     = 1200 * time.Millisecond
	servesOn       = 6 * time.Second
	leaveGap       = 800 * time.Millisecond // between two servers that leave
	lookupInterval = 15 * time.Millisecond
	serviceTime    = 150 * time.Millisecond
)

// passedOn is the first answer of a leaving server that a machine passed on.
type passedOn struct {
	server string
	at     time.Time
}

// leavingCase is what the clients of the first instance saw.
type leavingCase struct {
	l      *lab
	mu     sync.Mutex
	sentAt map[string]time.Time
	passed []passedOn
}

// playLeaving cuts one machine off from the store and, for a shorter time, from the servers. Two servers leave meanwhile, and say so in their
// answers, which the machine gets through other machines and passes on. No request that a client sends later than Drain after that may reach
// such a server from the machine.
func playLeaving(l *lab, trouble bool) (broken bool, err error) {
	for i := range 4 {
		if _, err := l.startServer(fmt.Sprintf("server-%d", i+1), "lookup", serviceTime); err != nil {
			return false, err
		}
	}
	l.publish(3, route{name: "lookup", prefix: "/lookup/", kind: "safe", service: "lookup", timeout: "1000ms", maxAttempts: 2})
	if err := l.startInstancesIn("zone-a", "zone-b", "zone-b"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := &leavingCase{l: l, sentAt: map[string]time.Time{}}
	done := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { c.sendLookups(done, &callers) })
	time.Sleep(time.Second)
	machine := l.instances[0]
	if trouble {
		if err := c.cut(machine, true); err != nil {
			return false, err
		}
	}
	time.Sleep(leaveAfter)
	leaving := l.servers[:2]
	for _, s := range leaving {
		l.leave(s)
		l.note("%s leaves, and goes on serving", s.id)
		time.Sleep(leaveGap)
	}
	time.Sleep(serverCut - leaveAfter - time.Duration(len(leaving))*leaveGap)
	if trouble {
		if err := c.cut(machine, false); err != nil {
			return false, err
		}
	}
	time.Sleep(storeCut - serverCut)
	if trouble {
		machine.store.cut(false)
		l.note("%s reaches the store again", machine.name)
	}
	time.Sleep(servesOn - (storeCut - leaveAfter))
	close(done)
	callers.Wait()
	for _, s := range leaving {
		s.close()
	}
	return c.check(machine.address()), nil
}

// cut cuts the machine off from the store and the servers, or ends the cut from the servers.
func (c *leavingCase) cut(machine *instance, begins bool) error {
	if begins {
		machine.store.cut(true)
		c.l.note("%s is cut off from the store and the servers", machine.name)
	} else {
		c.l.note("%s reaches the servers again", machine.name)
	}
	for _, s := range c.l.servers {
		change := s.endCut
		if begins {
			change = func() error { return s.cutOff(machine.address()) }
		}
		if err := change(); err != nil {
			return err
		}
	}
	return nil
}

// sendLookups sends requests to the first instance until done is closed.
func (c *leavingCase) sendLookups(done <-chan struct{}, callers *sync.WaitGroup) {
	ticker := time.NewTicker(lookupInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		callers.Go(func() { c.sendLookup(i) })
	}
}

func (c *leavingCase) sendLookup(i int) {
	r := request{id: fmt.Sprintf("lookup-%d", i), method: "GET", target: fmt.Sprintf("/lookup/%d", i)}
	sent := time.Now()
	c.mu.Lock()
	c.sentAt[r.id] = sent
	c.mu.Unlock()
	a := c.l.instances[0].send(r)
	c.l.note("%s %s %s sent at %.3f: %v", r.id, r.method, r.target, sent.Sub(c.l.started).Seconds(), a)
	if !a.isLeaving {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passed = append(c.passed, passedOn{server: serverOf(a), at: time.Now()})
}

// serverOf returns the server that an answer names.
func serverOf(a answer) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(a.body, "answer of "), " ")
	return name
}

// check reports whether a request reached a server from the machine that its client sent later than drain after the machine had passed on
// that server's word that it leaves.
func (c *leavingCase) check(machine netip.Addr) (broken bool) {
	first := map[string]time.Time{}
	for _, p := range c.passed {
		if at, known := first[p.server]; !known || p.at.Before(at) {
			first[p.server] = p.at
		}
	}
	for name, at := range first {
		c.l.note("the machine passed on an answer of %s with Server-Leaving at %.3f", name, at.Sub(c.l.started).Seconds())
	}
	late := 0
	for _, r := range c.l.runs() {
		at, isKnown := first[r.server]
		sent := c.sentAt[r.id]
		c.l.note("%s ran %s, from %s, at %.3f", r.server, r.id, r.from, r.at.Sub(c.l.started).Seconds())
		if isKnown && r.from == machine && sent.After(at.Add(drain)) {
			late++
			c.l.note("%s reached %s %.3f s after that", r.id, r.server, sent.Sub(at).Seconds())
		}
	}
	c.l.note("%d requests reached a leaving server later than Drain", late)
	return late > 0
}
