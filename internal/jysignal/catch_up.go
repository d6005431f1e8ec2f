package jysignal

import (
	"context"
	"net/netip"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
)

const (
	// catchUpPeers is the number of peers that a newly started instance asks for their views of the servers.
	catchUpPeers = 3
	// catchUpInterval is the time between two searches for peers to ask, and catchUpTime limits all searches together.
	catchUpInterval = 20 * time.Millisecond
	catchUpTime     = 3 * time.Second
)

// catchUp asks the first peers that become known in the local data centre for their views of all servers and the servers' limits. If
// none is known after half of catchUpTime, it asks peers in other data centres. It returns after catchUpPeers peers, after
// catchUpTime or when ctx ends.
func (s *Signals) catchUp(ctx context.Context) {
	asked := map[netip.AddrPort]bool{}
	until := time.Now().Add(catchUpTime)
	for ctx.Err() == nil && len(asked) < catchUpPeers && time.Now().Before(until) {
		peers := s.peers.localPeers()
		if time.Until(until) < catchUpTime/2 {
			peers = s.peers.nearestPeers()
		}
		for _, address := range peers {
			if asked[address] || len(asked) == catchUpPeers {
				continue
			}
			asked[address] = true
			m := s.newSignal()
			m.WantsViews = true
			s.sendTo(m, []netip.AddrPort{address})
		}
		jykernel.Wait(ctx, catchUpInterval)
	}
}

// sendAllViews sends a peer the views of all servers on which this instance has any evidence, and the limits that servers state.
func (s *Signals) sendAllViews(now time.Time, to netip.AddrPort) {
	var list []*jywire.ServerView
	for _, v := range s.config.Directory.Snapshot().Services() {
		for _, server := range v.Servers {
			if !server.WasTried() {
				continue
			}
			load, gray := server.View(now)
			list = append(list, toServerView(server.Hash(), load, gray))
		}
	}
	all := func(*jybackend.Server) bool { return true }
	signals := append(s.splitViews(list, nil), s.splitLimits(s.knownLimits(now, all))...)
	for _, m := range signals {
		s.sendTo(m, []netip.AddrPort{to})
	}
}
