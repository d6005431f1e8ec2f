//go:build review

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// blockedCaller crashes two targets at once while they run requests of one caller, and looks at the same request of another caller, on a
// route that was added later, once the targets are back.
func blockedCaller(e environment) bool {
	const (
		targetCount = 14
		crashed     = 2
		crashTime   = 4500 * time.Millisecond
	)
	s := startStore()
	l := &ledger{}
	var targets []*target
	for n := range targetCount {
		zone := []string{"z-a", "z-b", "z-c"}[n%3]
		targets = append(targets, startTarget(e.rec, l, fmt.Sprintf("i-%d", n+1), "clerk", zone, 4, 300*time.Millisecond))
	}
	first := route{name: "r-first", host: "clerk.example", prefix: "/post/", kind: "unsafe", service: "clerk", timeout: 2500 * time.Millisecond, attempts: 2}
	added := route{name: "r-added", host: "clerk.example", prefix: "/close/", kind: "unsafe", service: "clerk", timeout: 2500 * time.Millisecond, attempts: 2}
	tenants := []any{tenant("caller-a", "key-of-caller-a"), tenant("caller-b", "key-of-caller-b")}
	s.publish(7, []string{"clerk"}, []route{first}, tenants...)
	for _, t := range targets {
		t.report(s, "ready")
	}
	f := newFleet(e.root, []string{"z-a", "z-b", "z-c"}, s.address())
	f.startAll()
	c := newClients(e.rec)
	stop, done := make(chan struct{}), make(chan struct{})
	var n atomic.Int64
	go func() {
		defer close(done)
		c.drive(f, 150, stop, func(i *instance) {
			switch k := n.Add(1); {
			case k%8 == 0:
				c.send(i, "clerk.example", "POST", "/post/1", fmt.Appendf(nil, "entry=%d", k), 5*time.Second, map[string]string{"Key": "key-of-caller-b"})
			case k%2 == 0:
				c.send(i, "clerk.example", "POST", "/close/today", nil, 5*time.Second, map[string]string{"Key": "key-of-caller-a"})
			default:
				c.send(i, "clerk.example", "POST", "/close/today", nil, 5*time.Second, map[string]string{"Key": "key-of-caller-b"})
			}
		})
	}()
	start := e.rec.since()
	at := func(d time.Duration) { time.Sleep(start + d - e.rec.since()) }
	s.publish(9, []string{"clerk"}, []route{first, added}, tenants...)
	e.rec.log("the store acknowledged version 9, which adds the route /close/")
	const crashAt = 10 * time.Second
	at(crashAt)
	if e.trouble {
		for _, t := range targets[:crashed] {
			go t.crash()
		}
	}
	at(crashAt + crashTime)
	if e.trouble {
		for _, t := range targets[:crashed] {
			t.restart()
			t.report(s, "ready")
		}
	}
	// Steady state: Contact and longer after the last disruption.
	from := start + crashAt + crashTime + 2*contact
	at(from - start + 20*time.Second)
	close(stop)
	<-done
	type count struct{ sent, served int }
	counts := map[string]*count{"/post/1": {}, "/close/today": {}}
	for _, x := range c.list() {
		if x.at < from || x.key != "key-of-caller-b" {
			continue
		}
		counts[x.path].sent++
		if x.status == 200 {
			counts[x.path].served++
		}
	}
	firstCount, addedCount := *counts["/post/1"], *counts["/close/today"]
	summary := fmt.Sprintf("of %d requests of caller-b on the added route %d were served; of %d on the first route %d",
		addedCount.sent, addedCount.served, firstCount.sent, firstCount.served)
	e.rec.log("%s", summary)
	fmt.Println(summary)
	return addedCount.sent >= 20 && addedCount.served*firstCount.sent*4 < firstCount.served*addedCount.sent
}

// tenant returns a client account without a limit.
func tenant(name, key string) any {
	return map[string]any{"ResourceKind": "Tenants", "Metadata": map[string]any{"Name": name}, "Specification": map[string]any{
		"ApiKeys": []string{key}, "Priority": 0,
	}}
}
