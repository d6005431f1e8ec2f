//go:build review2

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["detours"] = playDetours }

const (
	detourRounds   = 5
	roundPause     = 4 * time.Second
	cutTime        = 5500 * time.Millisecond
	lossShare      = 0.03
	sendInterval   = 20 * time.Millisecond
	detourAttempts = 1 // MaxAttempts of the route
)

// playDetours cuts one machine off from the servers, so that it sends its requests through others, while the links between the machines lose
// packets. No more than three requests may run at more servers than MaxAttempts.
func playDetours(l *lab, trouble bool) (broken bool, err error) {
	for i := range 8 {
		if _, err := l.startServer(fmt.Sprintf("server-%d", i+1), "lookup", 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	l.publish(3, route{
		name: "lookup", prefix: "/lookup/", kind: "safe", service: "lookup", timeout: "1500ms", maxAttempts: detourAttempts,
	})
	if err := l.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { l.sendLookups(done, &callers) })
	for range detourRounds {
		if err := l.playDetourRound(trouble); err != nil {
			return false, err
		}
		time.Sleep(roundPause)
	}
	close(done)
	callers.Wait()
	time.Sleep(time.Second)
	over := 0
	for id, servers := range l.serversByRequest() {
		if len(servers) > detourAttempts {
			over++
			l.note("%s ran at %d servers, of %d allowed: %v", id, len(servers), detourAttempts, servers)
		}
	}
	l.note("%d requests ran at more servers than MaxAttempts", over)
	return over > 3, nil
}

// sendLookups sends requests to the first instance until done is closed.
func (l *lab) sendLookups(done <-chan struct{}, callers *sync.WaitGroup) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		callers.Go(func() {
			r := request{id: fmt.Sprintf("lookup-%d", i), method: "GET", target: fmt.Sprintf("/lookup/%d", i)}
			l.note("%s %s %s: %v", r.id, r.method, r.target, l.instances[0].send(r))
		})
	}
}

// playDetourRound cuts the first instance off for cutTime, in which the links between the instances lose packets.
func (l *lab) playDetourRound(trouble bool) error {
	if !trouble {
		time.Sleep(cutTime)
		return nil
	}
	cut := l.instances[0]
	l.note("%s is cut off from the servers, and the links between the machines lose packets", cut.name)
	for _, s := range l.servers {
		if err := s.cutOff(cut.address()); err != nil {
			return err
		}
	}
	l.lose(lossShare)
	time.Sleep(cutTime)
	l.lose(0)
	for _, s := range l.servers {
		if err := s.endCut(); err != nil {
			return err
		}
	}
	l.note("the cut and the losses have ended")
	return nil
}

// lose makes the links between the instances lose this share of the packets.
func (l *lab) lose(share float64) {
	for _, in := range l.instances {
		in.peers.lose(share)
	}
}

// serversByRequest returns the servers that ran each request, each server once.
func (l *lab) serversByRequest() map[string][]string {
	out := map[string][]string{}
	for _, r := range l.runs() {
		if !slices.Contains(out[r.id], r.server) {
			out[r.id] = append(out[r.id], r.server)
		}
		l.note("%s ran %s at %.3f", r.server, r.id, r.at.Sub(l.started).Seconds())
	}
	return out
}
