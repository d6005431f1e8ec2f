package jynode

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

const (
	// alternativeCount is the number of instances that one whose calls to the store fail tries in place of the store.
	alternativeCount = 2
	// maxProofOffset bounds the offsets of proofs: longer ones are invalid, since no revocation bound is longer.
	maxProofOffset = time.Hour
)

// storeWatchersPerDataCentre is the number of instances of a data centre that watch the store. The others receive the
// changes from the first of them.
const storeWatchersPerDataCentre = 1

// changeFeed serves the changes of the store to other instances. See jydiscovery.FeedSource for Follow.
type changeFeed interface {
	Configuration() *jydiscovery.Configuration
	Follow(ctx context.Context, after jydiscovery.Position, wait time.Duration) (jydiscovery.FeedAnswer, error)
}

// feedSourceFrom returns a function that selects the instance to receive changes from, which is called through clients.
func (n *Node) feedSourceFrom(clients *jypeer.Clients) func() (jydiscovery.FeedSource, bool) {
	return func() (jydiscovery.FeedSource, bool) { return n.feedSource(clients) }
}

// feedSource returns the instance to receive changes from, or false if this instance watches the store itself.
func (n *Node) feedSource(clients *jypeer.Clients) (jydiscovery.FeedSource, bool) {
	watchers := n.rankedReaders(storeWatchersPerDataCentre)
	if len(watchers) == 0 || string(watchers[0].Name) == n.settings.Name {
		return nil, false
	}
	return feedSource{clients: clients, member: watchers[0]}, true
}

// rankedReaders returns up to count instances of this data centre in the order in which they are to watch the store.
func (n *Node) rankedReaders(count int) []jymember.Member {
	return n.fleet.RankedForKey("reader", count, func(m jymember.Member) bool {
		return m.DataCentre == n.settings.DataCentre
	})
}

// alternativesFrom returns a function that selects the instances to receive changes from while the store cannot be read, or nil if no
// lease needs their proofs.
func (n *Node) alternativesFrom(clients *jypeer.Clients) func() []jydiscovery.FeedSource {
	if n.settings.RevocationBound == 0 {
		return nil
	}
	return func() []jydiscovery.FeedSource { return n.alternatives(clients) }
}

// alternatives returns the next-ranked instances after the store watchers, without this one. Each instance has its own order of them, so
// that those that the store refuses spread over them.
func (n *Node) alternatives(clients *jypeer.Clients) []jydiscovery.FeedSource {
	const self = 1
	ranked := n.rankedReaders(storeWatchersPerDataCentre + alternativeCount + self)
	byName := map[jymember.Name]jymember.Member{}
	var names []jymember.Name
	for _, m := range ranked[min(storeWatchersPerDataCentre, len(ranked)):] {
		if string(m.Name) == n.settings.Name || len(names) == alternativeCount {
			continue
		}
		byName[m.Name] = m
		names = append(names, m.Name)
	}
	out := make([]jydiscovery.FeedSource, 0, len(names))
	for _, name := range jyrendezvous.Top(n.settings.Name, names, len(names)) {
		out = append(out, feedSource{clients: clients, member: byName[name]})
	}
	return out
}

// feedSource is another instance of the data centre that watches the store and serves its changes.
type feedSource struct {
	clients *jypeer.Clients
	member  jymember.Member
}

// Name returns the instance's name.
func (f feedSource) Name() string { return string(f.member.Name) }

// Follow requests the changes after a position; the instance waits up to wait for one.
func (f feedSource) Follow(ctx context.Context, after jydiscovery.Position, wait time.Duration) (jydiscovery.FeedAnswer, error) {
	r, err := f.clients.At(f.member.Address).Follow(ctx, connect.NewRequest(&jywire.FollowRequest{
		After: uint64(after.Revision), Era: uint64(after.Era), WaitMilliseconds: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return jydiscovery.FeedAnswer{}, err
	}
	out := jydiscovery.FeedAnswer{
		Confirmed: time.Duration(r.Msg.GetProofMilliseconds()) * time.Millisecond, Proven: decodeProof(r.Msg.LeaseProofMicroseconds),
	}
	if err := json.Unmarshal(r.Msg.GetChanges(), &out.Changes); err != nil {
		return jydiscovery.FeedAnswer{}, err
	}
	return out, nil
}

// decodeProof returns the offset of a proof, nil if there is none or it is out of range.
func decodeProof(microseconds *int64) *time.Duration {
	const limit = int64(maxProofOffset / time.Microsecond)
	if microseconds == nil || *microseconds < -limit || *microseconds > limit {
		return nil
	}
	offset := time.Duration(*microseconds) * time.Microsecond
	return &offset
}

// encodeProof returns the offset of a proof in microseconds, nil if there is none. It rounds to the earlier microsecond.
func encodeProof(offset *time.Duration) *int64 {
	if offset == nil {
		return nil
	}
	microseconds := int64(math.Floor(float64(*offset) / float64(time.Microsecond)))
	return &microseconds
}

// changeFeed returns the feed for peers, or nil if the instance does not use the platform's store.
func (n *Node) changeFeed() changeFeed {
	if s, ok := n.source.(storeSource); ok {
		return s
	}
	return nil
}

var errNoStore = errors.New("this instance follows no store")

// Follow returns the changes of the store to a peer.
func (h peerHandler) Follow(ctx context.Context, r *connect.Request[jywire.FollowRequest]) (*connect.Response[jywire.FollowResponse], error) {
	if h.changeFeed == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoStore)
	}
	wait := time.Duration(r.Msg.GetWaitMilliseconds()) * time.Millisecond
	after := jydiscovery.Position{Era: jydiscovery.Era(r.Msg.GetEra()), Revision: jydiscovery.Revision(r.Msg.GetAfter())}
	answer, err := h.changeFeed.Follow(ctx, after, wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	raw, err := json.Marshal(answer.Changes)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&jywire.FollowResponse{
		ProofMilliseconds: answer.Confirmed.Milliseconds(), LeaseProofMicroseconds: encodeProof(answer.Proven), Changes: raw,
	}), nil
}
