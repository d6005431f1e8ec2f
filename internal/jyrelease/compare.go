package jyrelease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

const compareTry = 100 * time.Millisecond

// compare asks peers what is in force before this instance serves, so that a stale configuration service cannot take it
// back to an older note: it ends when a ready peer has answered, or when most of the listed instances have answered and
// none was ready, as in a fleet that starts. While the list is away, only a ready peer's answer ends it.
func (r *Distributor) compare(ctx context.Context) {
	reached := map[string]bool{}
	delay := compareTry
	for ctx.Err() == nil {
		list, err := r.config.Platform.Instances(ctx)
		if err != nil {
			r.noteAway(ctx, err)
		}
		listed := r.takeList(list)
		ready := r.askAll(ctx, r.candidates(listed), reached)
		if ready || (err == nil && isMajority(listed, reached)) {
			r.compared.Store(true)
			r.logReady()
			return
		}
		jykernel.Wait(ctx, delay+rand.N(delay))
		// A fleet that starts while the service is away must not press on it.
		delay = min(2*delay, r.config.PollInterval)
	}
}

// candidates returns the addresses of all instances that are known in any way.
func (r *Distributor) candidates(listed []jyplatform.Instance) []string {
	addresses := slices.Clone(r.config.Seeds)
	for _, i := range listed {
		addresses = append(addresses, i.PeerAddress)
	}
	for _, m := range r.fleet.RandomPeers(maxAsked) {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

const (
	// maxAsked bounds the instances that are asked beside the listed ones.
	maxAsked = 64
	// askedAtOnce bounds the instances that are asked at the same time.
	askedAtOnce = 16
)

// isMajority reports whether more than half of the instances, this one included, were reached.
func isMajority(others []jyplatform.Instance, reached map[string]bool) bool {
	count := 1
	for _, i := range others {
		if reached[i.PeerAddress] {
			count++
		}
	}
	return 2*count > len(others)+1
}

// askAll reports whether a ready peer answered, and adds the addresses that answered at all to reached.
func (r *Distributor) askAll(ctx context.Context, addresses []string, reached map[string]bool) bool {
	answers := make([]answer, len(addresses))
	var wg sync.WaitGroup
	places := make(chan struct{}, askedAtOnce)
	for i, a := range addresses {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			answers[i] = r.fetch(ctx, a)
		})
	}
	wg.Wait()
	ready := false
	for i, a := range answers {
		reached[addresses[i]] = reached[addresses[i]] || a.reached
		ready = ready || a.ready
	}
	return ready
}

// takeList passes the platform's list on to the membership and returns the other instances.
func (r *Distributor) takeList(list jyplatform.InstanceList) []jyplatform.Instance {
	self := r.fleet.Self()
	var peers []jyplatform.Instance
	var seeds []jymember.ListedInstance
	for _, i := range list.Instances {
		seeds = append(seeds, jymember.ListedInstance{
			Name: jymember.Name(i.Name), Address: i.PeerAddress, DataCentre: i.DataCentre, Region: i.Region,
		})
		if i.Name != string(self.Name) {
			peers = append(peers, i)
		}
	}
	r.fleet.SyncList(seeds)
	return peers
}

// InstanceListPoller reads the platform's list of instances; only the watchers of a data centre do so, and those who see no other instance.
type InstanceListPoller struct {
	Distributor *Distributor
}

// Run reads the list until ctx ends.
func (l InstanceListPoller) Run(ctx context.Context) error {
	r := l.Distributor
	for ctx.Err() == nil {
		interval := r.config.ListInterval
		if len(r.fleet.RandomPeers(1)) == 0 {
			interval = r.config.PollInterval
		}
		jykernel.Wait(ctx, interval)
		if len(r.fleet.RandomPeers(1)) > 0 && !r.isWatcher() {
			continue
		}
		// The list may be away for hours; heartbeats go on without it.
		if list, err := r.config.Platform.Instances(ctx); err == nil {
			r.takeList(list)
		}
	}
	return nil
}
