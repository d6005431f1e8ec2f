package jyrelease

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

const compareTry = 200 * time.Millisecond

// compare asks the listed peers what is in force before this instance serves, so that a stale configuration service
// cannot take it back to an older note: it ends when a ready peer has answered, or when most of the listed instances
// have answered and none was ready, as in a fleet that starts.
func (r *Release) compare(ctx context.Context) {
	reached := map[string]bool{}
	for ctx.Err() == nil {
		list, err := r.config.Platform.Instances(ctx)
		if err != nil {
			r.noteAway(ctx, err)
			wait(ctx, compareTry)
			continue
		}
		peers := r.takeList(list)
		if r.askAll(ctx, peers, reached) || 2*(len(reached)+1) > len(peers)+1 {
			r.compared.Store(true)
			return
		}
		wait(ctx, compareTry)
	}
}

// askAll reports whether a ready peer answered, and adds the peers that answered at all to reached.
func (r *Release) askAll(ctx context.Context, peers []jyplatform.Instance, reached map[string]bool) bool {
	for _, p := range peers {
		a := r.fetch(ctx, p.PeerAddress)
		if a.ready {
			return true
		}
		if a.reached {
			reached[p.Name] = true
		}
	}
	return false
}

// takeList passes the platform's list on to the membership and returns the other instances.
func (r *Release) takeList(list jyplatform.InstanceList) []jyplatform.Instance {
	self := r.fleet.Self()
	var peers []jyplatform.Instance
	var seeds []jymember.Seed
	for _, i := range list.Instances {
		seeds = append(seeds, jymember.Seed{
			Name: jymember.Name(i.Name), Address: i.PeerAddress, DataCentre: i.DataCentre, Region: i.Region,
		})
		if i.Name != string(self.Name) {
			peers = append(peers, i)
		}
	}
	r.fleet.SyncList(seeds)
	return peers
}

// ListWatch reads the platform's list of instances; only the watchers of a data centre do so, and those who see no other instance.
type ListWatch struct {
	Release *Release
}

// Run reads the list until ctx ends.
func (l ListWatch) Run(ctx context.Context) error {
	r := l.Release
	for ctx.Err() == nil {
		wait(ctx, r.config.PollInterval)
		if len(r.fleet.Others(1)) > 0 && !r.isWatcher() {
			continue
		}
		// The list may be away for hours; heartbeats go on without it.
		if list, err := r.config.Platform.Instances(ctx); err == nil {
			r.takeList(list)
		}
	}
	return nil
}
