package jynode

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// sharersInterval is how long the list of the instances that share limits is used if the membership does not change.
const sharersInterval = time.Second

// limitShares computes this instance's shares of the limits that backend servers state.
type limitShares struct {
	node *Node

	mu       sync.Mutex
	sharers  []jyquota.Instance
	loadedAt time.Time // when sharers was made from the membership at version
	version  uint64
}

// shareOf returns this instance's share of a limit. Without signals, the instances don't tell each other about limits.
func (l *limitShares) shareOf(s jynote.BackendServer, limit jyquota.Rate) jyquota.Share {
	self := jyquota.InstanceName(l.node.settings.Name)
	if l.node.signals == nil {
		return jyquota.EqualShareOf(self, limit, l.current())
	}
	server := jyquota.Server{Name: string(s.Name), DataCentre: jyquota.DataCentreName(s.DataCentre)}
	return jyquota.ShareOf(self, server, limit, l.current())
}

// current returns the instances that share limits. The caller must not change the list.
func (l *limitShares) current() []jyquota.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, version := time.Now(), l.node.fleet.MembershipVersion()
	if l.loadedAt.IsZero() || version != l.version || now.Sub(l.loadedAt) > sharersInterval {
		l.sharers, l.loadedAt, l.version = jyquota.Sharers(l.instances()), now, version
	}
	return l.sharers
}

// instances returns all instances that have not left. While no other instance is known, each seed counts as one: this instance may
// be cut off from them.
func (l *limitShares) instances() []jyquota.Instance {
	s := l.node.settings
	var out []jyquota.Instance
	for _, p := range l.node.fleet.Presences() {
		out = append(out, toSharer(p))
	}
	if len(out) > 1 {
		return out
	}
	for _, seed := range s.Seeds {
		if seed != s.PeerAddress && seed != s.AdvertisedAddress {
			out = append(out, jyquota.Instance{Name: jyquota.InstanceName(seed), DataCentre: jyquota.DataCentreName(s.DataCentre)})
		}
	}
	return out
}

func toSharer(p jymember.Presence) jyquota.Instance {
	return jyquota.Instance{Name: jyquota.InstanceName(p.Name), DataCentre: jyquota.DataCentreName(p.DataCentre), DeadFor: p.DeadFor}
}
