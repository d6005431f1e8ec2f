package jysignal

import (
	"context"
	"net/netip"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
)

const (
	// catchUpPeers is the number of instances that one which has just started asks for what they believe.
	catchUpPeers = 3
	// catchUpInterval is how often it looks for instances to ask, and catchUpTime how long.
	catchUpInterval = 20 * time.Millisecond
	catchUpTime     = 3 * time.Second
)

// catchUp asks the first instances that become known for what they believe of all servers.
func (s *Signals) catchUp(ctx context.Context) {
	asked := map[netip.AddrPort]bool{}
	for until := time.Now().Add(catchUpTime); ctx.Err() == nil && len(asked) < catchUpPeers && time.Now().Before(until); {
		for _, address := range s.peers.nearby() {
			if asked[address] || len(asked) == catchUpPeers {
				continue
			}
			asked[address] = true
			m := s.next()
			m.WantsViews = true
			s.post(m, []netip.AddrPort{address})
		}
		jykernel.Wait(ctx, catchUpInterval)
	}
}

// tellEverything tells an instance what this one believes of all servers.
func (s *Signals) tellEverything(now time.Time, to netip.AddrPort) {
	var list []*jywire.ServerView
	for _, v := range s.config.Directory.Snapshot().Services() {
		for _, server := range v.Servers {
			if !server.WasTried() {
				continue
			}
			load, gray := server.View(now)
			list = append(list, wireView(server.Hash(), load, gray))
		}
	}
	for _, m := range s.splitViews(list, nil) {
		s.post(m, []netip.AddrPort{to})
	}
}
