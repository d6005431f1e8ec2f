//go:build review

package main

import (
	"fmt"
	"time"
)

// healthyForgotten lets all entries expire in an outage of the store, after which all targets write them again within two seconds, and
// counts the sound targets that get requests.
func healthyForgotten(e environment) bool {
	const (
		floorShare  = 0.7
		outageTime  = 4500 * time.Millisecond
		targetCount = 8
		perSecond   = 55
	)
	s := startStore()
	l := &ledger{}
	var targets []*target
	for n := range targetCount {
		zone := []string{"z-a", "z-b"}[n%2]
		targets = append(targets, startTarget(e.rec, l, fmt.Sprintf("i-%d", n+1), "roll", zone, 2, 200*time.Millisecond))
	}
	s.publish(7, []string{"roll"}, []route{{
		name: "r-look", host: "roll.example", prefix: "/look/", kind: "safe", service: "roll", timeout: 2 * time.Second, attempts: 2,
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
		c.drive(f, perSecond, stop, func(i *instance) {
			c.send(i, "roll.example", "GET", "/look/1", nil, 2*time.Second, nil)
		})
	}()
	start := e.rec.since()
	at := func(d time.Duration) { time.Sleep(start + d - e.rec.since()) }
	back := 4*time.Second + outageTime
	at(4 * time.Second)
	if e.trouble {
		e.rec.log("the store is silent for %v", outageTime)
		s.setSilent(true)
		at(back - 20*time.Millisecond)
		for _, t := range targets {
			t.leave(s) // Three ping intervals have passed without a write.
		}
		at(back)
		s.setSilent(false)
		e.rec.log("the store answers again")
		// All entries are back within two seconds: half of them at once, half at the end of that time.
		for n, t := range targets {
			delay := time.Duration(20+10*n) * time.Millisecond
			if n >= targetCount/2 {
				delay = 1850*time.Millisecond + delay
			}
			time.AfterFunc(delay, func() { t.report(s, "ready") })
		}
	}
	at(back + 14*time.Second)
	close(stop)
	<-done
	broken := false
	arrivals, requests := l.all(), c.list()
	// The store is stable Contact after its return, and all targets are sound: nothing ever impaired them.
	for from := start + back + 2*contact; from+2*time.Second <= start+back+14*time.Second; from += time.Second {
		used, sentCount, unserved := map[string]bool{}, 0, 0
		for _, a := range arrivals {
			if a.at >= from && a.at < from+2*time.Second {
				used[a.target] = true
			}
		}
		for _, x := range requests {
			if x.at >= from && x.at < from+2*time.Second {
				sentCount++
				if x.status != 200 {
					unserved++
				}
			}
		}
		share := float64(unserved) / float64(max(1, sentCount))
		e.rec.log("from %.3f, for 2 s: %d of %d sound targets get requests; %d of %d requests aren't served", from.Seconds(), len(used),
			targetCount, unserved, sentCount)
		if len(used) > 0 && float64(len(used)) < floorShare*targetCount && share > 0.1 && share < 0.5 {
			broken = true
		}
	}
	late := 0
	for _, a := range arrivals {
		if a.at > start+back+5*time.Second && (a.target == "i-1" || a.target == "i-2" || a.target == "i-3" || a.target == "i-4") {
			late++
		}
	}
	fmt.Printf("the targets whose entries came back first got %d requests later than 5 s after the outage\n", late)
	return broken
}
