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

const catchUpRetryDelay = 100 * time.Millisecond

// catchUp fetches the current state from peers before this instance serves callers, so that a stale configuration service
// cannot revert it to an older note. It returns when a ready peer has answered. It also returns when the majority of the listed
// instances have been reached and none was ready, as when the whole fleet starts. While the instance list is unavailable, only
// the answer of a ready peer ends it.
func (d *Distributor) catchUp(ctx context.Context) {
	reached := map[string]bool{}
	delay := catchUpRetryDelay
	for ctx.Err() == nil {
		list, err := d.config.Platform.Instances(ctx)
		if err != nil {
			d.recordUnavailable(ctx, err)
		}
		listed := d.applyList(list)
		ready := d.fetchAll(ctx, d.candidates(listed), reached)
		if ready || (err == nil && isMajority(listed, reached)) {
			d.caughtUp.Store(true)
			d.logReady()
			return
		}
		jykernel.Wait(ctx, delay+rand.N(delay))
		// The delay grows to protect the configuration service when the whole fleet starts during an outage.
		delay = min(2*delay, d.config.PollInterval)
	}
}

// candidates returns the addresses of the seeds, the listed instances and up to maxRandomPeers members of the fleet.
func (d *Distributor) candidates(listed []jyplatform.Instance) []string {
	addresses := slices.Clone(d.config.Seeds)
	for _, i := range listed {
		addresses = append(addresses, i.PeerAddress)
	}
	for _, m := range d.fleet.RandomPeers(maxRandomPeers) {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

const (
	// maxRandomPeers is the maximum number of members that are asked in addition to the seeds and the listed instances.
	maxRandomPeers = 64
	// maxParallelFetches is the maximum number of peers that are asked at the same time.
	maxParallelFetches = 16
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

// fetchAll fetches the state from all addresses, adds those that answered to reached, and reports whether one was ready.
func (d *Distributor) fetchAll(ctx context.Context, addresses []string, reached map[string]bool) bool {
	results := make([]fetchResult, len(addresses))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelFetches)
	for i, a := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			results[i] = d.fetch(ctx, a)
		})
	}
	wg.Wait()
	ready := false
	for i, r := range results {
		reached[addresses[i]] = reached[addresses[i]] || r.reached
		ready = ready || r.ready
	}
	return ready
}

// applyList passes the platform's instance list to the membership and returns the other instances in it.
func (d *Distributor) applyList(list jyplatform.InstanceList) []jyplatform.Instance {
	self := d.fleet.Self()
	var peers []jyplatform.Instance
	var members []jymember.ListedInstance
	for _, i := range list.Instances {
		members = append(members, jymember.ListedInstance{
			Name: jymember.Name(i.Name), Address: i.PeerAddress, DataCentre: i.DataCentre, Region: i.Region,
		})
		if i.Name != string(self.Name) {
			peers = append(peers, i)
		}
	}
	d.fleet.SyncList(members)
	return peers
}

// InstanceListPoller reads the platform's instance list periodically, if this instance is a watcher of its data centre or the
// membership contains no other working instance.
type InstanceListPoller struct {
	Distributor *Distributor
}

// Run reads the list until ctx ends. It always returns nil.
func (p InstanceListPoller) Run(ctx context.Context) error {
	d := p.Distributor
	for ctx.Err() == nil {
		interval := d.config.ListInterval
		if len(d.fleet.RandomPeers(1)) == 0 {
			interval = d.config.PollInterval
		}
		jykernel.Wait(ctx, interval)
		if len(d.fleet.RandomPeers(1)) > 0 && !d.isWatcher() {
			continue
		}
		// An error is ignored: the list may be unavailable for hours, and heartbeats do not need it.
		if list, err := d.config.Platform.Instances(ctx); err == nil {
			d.applyList(list)
		}
	}
	return nil
}
