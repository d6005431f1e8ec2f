//go:build review

package main

import (
	"fmt"
	"time"
)

// doubleSlash sends requests whose paths begin with two slashes, and looks for a target that runs another path.
func doubleSlash(e environment) bool {
	s := startStore()
	l := &ledger{}
	t := startTarget(e.rec, l, "i-1", "orders", "z-a", 4, 20*time.Millisecond)
	s.publish(7, []string{"orders"}, []route{{
		name: "r-all", host: "shop.example", prefix: "/", kind: "unsafe", service: "orders", timeout: 2 * time.Second, attempts: 2,
	}})
	t.report(s, "ready")
	f := newFleet(e.root, []string{"z-a"}, s.address())
	f.startAll()
	c := newClients(e.rec)
	path := "/archive/orders/17/cancel"
	if e.trouble {
		path = "//archive/orders/17/cancel"
	}
	changed := 0
	for range 10 {
		c.sendRaw(f.instances[0], "shop.example", "POST", path, 2*time.Second)
	}
	for _, a := range l.all() {
		if a.uri != path {
			changed++
			e.rec.log("request %s was sent with path %s, and ran with request target %s", a.id, path, a.uri)
		}
	}
	fmt.Printf("%d of %d requests ran with another path\n", changed, len(l.all()))
	return changed > 0
}
