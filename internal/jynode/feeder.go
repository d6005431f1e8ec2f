package jynode

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// readersPerCentre is the number of instances of a data centre that follow the store; the others hear from the first of them.
const readersPerCentre = 1

// followed is an instance whose changes others may follow.
type followed interface {
	Follow(ctx context.Context, after jydiscovery.Revision, wait time.Duration) (c jydiscovery.Changes, proof time.Duration, err error)
}

// feederFrom returns what chooses the instance that reads the store for this one, or none if it reads itself.
func (n *Node) feederFrom(clients *jypeer.Clients) func() (jydiscovery.FeedSource, bool) {
	return func() (jydiscovery.FeedSource, bool) { return n.feeder(clients) }
}

func (n *Node) feeder(clients *jypeer.Clients) (jydiscovery.FeedSource, bool) {
	readers := n.fleet.RankedForKey("reader", readersPerCentre, func(m jymember.Member) bool { return m.DataCentre == n.settings.DataCentre })
	if len(readers) == 0 || string(readers[0].Name) == n.settings.Name {
		return nil, false
	}
	return feeder{clients: clients, member: readers[0]}, true
}

// feeder is another instance that follows the store.
type feeder struct {
	clients *jypeer.Clients
	member  jymember.Member
}

// Name returns the instance's name.
func (f feeder) Name() string { return string(f.member.Name) }

// Follow asks the instance what changed.
func (f feeder) Follow(ctx context.Context, after jydiscovery.Revision, wait time.Duration) (jydiscovery.Changes, time.Duration, error) {
	r, err := f.clients.At(f.member.Address).Follow(ctx, connect.NewRequest(&jywire.FollowRequest{
		After: uint64(after), WaitMilliseconds: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return jydiscovery.Changes{}, 0, err
	}
	var changes jydiscovery.Changes
	if err := json.Unmarshal(r.Msg.GetChanges(), &changes); err != nil {
		return jydiscovery.Changes{}, 0, err
	}
	return changes, time.Duration(r.Msg.GetProofMilliseconds()) * time.Millisecond, nil
}

// followed returns what peers may follow, or nil.
func (n *Node) followed() followed {
	if s, ok := n.source.(storeSource); ok {
		return s
	}
	return nil
}

var errNoStore = errors.New("this instance follows no store")

// Follow tells a peer what changed in the store.
func (h peerHandler) Follow(ctx context.Context, r *connect.Request[jywire.FollowRequest]) (*connect.Response[jywire.FollowResponse], error) {
	if h.follow == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoStore)
	}
	wait := time.Duration(r.Msg.GetWaitMilliseconds()) * time.Millisecond
	changes, proof, err := h.follow.Follow(ctx, jydiscovery.Revision(r.Msg.GetAfter()), wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	raw, err := json.Marshal(changes)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&jywire.FollowResponse{ProofMilliseconds: proof.Milliseconds(), Changes: raw}), nil
}
