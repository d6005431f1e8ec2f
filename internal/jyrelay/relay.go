package jyrelay

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jyledger"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Fleet is what is asked of the membership.
type Fleet interface {
	Self() jymember.Member
	Owner(r jymember.Run) (jymember.Member, bool)
	RankedForKey(key string, count int, only func(jymember.Member) bool) []jymember.Member
	AddSuccession(s jymember.Succession)
}

// Decider runs a request that was relayed to this instance.
type Decider interface {
	RunRelayed(ctx context.Context, r jyproxy.RelayedRequest) jydedup.Result
}

// Config sets up a Relay.
type Config struct {
	Clients *jypeer.Clients
	Fleet   Fleet
	Ledger  *jyledger.Ledger
	Timeout time.Duration
}

// Relay passes requests to the instance that decides about their ids, and takes such requests from peers.
type Relay struct {
	config  Config
	decider Decider
	mu      sync.Mutex
	parts   map[jydedup.Issuer]partial
}

// partial is a hand-over that is not whole yet.
type partial struct {
	joined jydedup.HandOver
	next   uint32
}

// New returns a relay; SetDecider must follow before peers call.
func New(c Config) *Relay {
	return &Relay{config: c, parts: map[jydedup.Issuer]partial{}}
}

// SetDecider tells what runs the requests that peers relay.
func (r *Relay) SetDecider(d Decider) { r.decider = d }

// Relay passes a request on; an error means that its outcome is unknown.
func (r *Relay) Relay(ctx context.Context, in jyproxy.RelayedRequest) (jydedup.Result, error) {
	const op = "relay request"
	run := jymember.Run{Name: jymember.Name(in.ID.Issuer.Instance), Boot: jymember.Boot(in.ID.Issuer.Boot)}
	holder, ok := r.config.Fleet.Owner(run)
	if !ok || holder.Address == "" || holder.Name == r.config.Fleet.Self().Name {
		return jydedup.Result{}, jyfault.New(op, NoHolder, "%s", in.ID.Issuer.Instance)
	}
	resp, err := r.config.Clients.At(holder.Address).Relay(ctx, connect.NewRequest(&jywire.RelayRequest{
		Id: jypeer.IDToWire(in.ID), Caller: string(in.Caller), Method: in.Method, Uri: in.URI, Host: in.Host,
		Headers: jypeer.HeadersToWire(in.Header), Body: in.Body, RemainingMilliseconds: in.Remaining.Milliseconds(),
	}))
	if err != nil {
		return jydedup.Result{}, jyfault.New(op, Unreachable, "%w", err)
	}
	result := jypeer.ResultFromWire(resp.Msg.GetResult())
	if result.Outcome != jyoutcome.Complete && result.Outcome != jyoutcome.NotRun {
		result.Outcome = jyoutcome.Unknown
	}
	return result, nil
}

// HandleRelay runs a request that a peer relayed.
func (r *Relay) HandleRelay(ctx context.Context, q *connect.Request[jywire.RelayRequest]) (*connect.Response[jywire.RelayResponse], error) {
	m := q.Msg
	result := r.decider.RunRelayed(ctx, jyproxy.RelayedRequest{
		ID: jypeer.IDFromWire(m.GetId()), Caller: jydedup.Caller(m.GetCaller()), Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(),
		Header: jypeer.HeadersFromWire(m.GetHeaders()), Body: m.GetBody(), Remaining: time.Duration(m.GetRemainingMilliseconds()) * time.Millisecond,
	})
	return connect.NewResponse(&jywire.RelayResponse{Result: jypeer.ResultToWire(result)}), nil
}

// HandOver brings the ids of this process, which must be sealed and idle, to one successor, and returns it.
//
// The next candidate is asked only after a refusal: where an answer is lost, the first one may have taken the ids, and a
// second one must not.
func (r *Relay) HandOver(ctx context.Context) (*jymember.Run, error) {
	const op = "hand request ids over"
	list, err := r.config.Ledger.Export()
	if err != nil {
		return nil, jyfault.New(op, NotSealed, "%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	self := r.config.Fleet.Self()
	notSelf := func(m jymember.Member) bool {
		return m.Name != self.Name && m.Status == jymember.Alive && m.Address != ""
	}
	for _, m := range r.config.Fleet.RankedForKey("successor/"+string(self.Name), successorsAsked, notSelf) {
		run, err := r.handTo(ctx, m, list)
		if err == nil {
			return run, nil
		}
		if connect.CodeOf(err) != connect.CodeFailedPrecondition {
			return run, jyfault.New(op, Unreachable, "%w", err)
		}
	}
	return nil, jyfault.New(op, NoHolder, "no other instance takes them")
}

// handTo offers the ids to one successor; it refuses before it takes any.
func (r *Relay) handTo(ctx context.Context, m jymember.Member, list []jydedup.HandOver) (*jymember.Run, error) {
	var successor *jymember.Run
	records := 0
	for _, h := range list {
		run, err := r.handParts(ctx, m, h)
		if err != nil && successor != nil {
			return successor, jyfault.New("hand request ids over", Unreachable, "after the first issuer: %v", err)
		}
		if err != nil {
			return nil, err
		}
		successor = &run
		records += len(h.Records)
		from := jymember.Run{Name: jymember.Name(h.Issuer.Instance), Boot: jymember.Boot(h.Issuer.Boot)}
		r.config.Fleet.AddSuccession(jymember.Succession{From: from, To: run})
	}
	jylog.HandOverDone.Log(m.Name, records)
	return successor, nil
}

// handParts brings one issuer's ids in parts, of which the last makes the successor decide about them.
func (r *Relay) handParts(ctx context.Context, m jymember.Member, h jydedup.HandOver) (jymember.Run, error) {
	var run jymember.Run
	parts := h.Split(recordsPerPart)
	for i, part := range parts {
		resp, err := r.config.Clients.At(m.Address).HandOver(ctx, connect.NewRequest(jypeer.HandOverToWire(part, i, len(parts))))
		if err != nil {
			return run, err
		}
		run = jypeer.RunFromWire(resp.Msg.GetSuccessor())
	}
	return run, nil
}

// recordsPerPart keeps a part with the largest answers within a message's bound.
const recordsPerPart = 100

// successorsAsked is the number of instances that are asked in turn.
const successorsAsked = 3

const handOverTimeout = 5 * time.Second

// HandleHandOver takes the ids of an instance that shuts down.
func (r *Relay) HandleHandOver(_ context.Context, q *connect.Request[jywire.HandOverRequest]) (*connect.Response[jywire.HandOverResponse], error) {
	h, whole, err := r.joinParts(q.Msg)
	if err == nil && whole {
		err = r.config.Ledger.Import(h)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	self := r.config.Fleet.Self()
	run := jymember.Run{Name: self.Name, Boot: self.Boot}
	if !whole {
		return connect.NewResponse(&jywire.HandOverResponse{Successor: jypeer.RunToWire(run)}), nil
	}
	from := jymember.Run{Name: jymember.Name(h.Issuer.Instance), Boot: jymember.Boot(h.Issuer.Boot)}
	r.config.Fleet.AddSuccession(jymember.Succession{From: from, To: run})
	jylog.HandOverTaken.Log(h.Issuer.Instance, len(h.Records))
	return connect.NewResponse(&jywire.HandOverResponse{Successor: jypeer.RunToWire(run)}), nil
}

// joinParts adds a part to those that came before, and returns the hand-over when it is whole; a first part begins anew.
func (r *Relay) joinParts(w *jywire.HandOverRequest) (h jydedup.HandOver, whole bool, err error) {
	h = jypeer.HandOverFromWire(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.GetPart() > 0 {
		p := r.parts[h.Issuer]
		if p.next != w.GetPart() {
			return h, false, jyfault.New("take request ids over", MissingPart, "part %d came in place of %d", w.GetPart(), p.next)
		}
		h.Records = append(p.joined.Records, h.Records...)
	}
	if w.GetPart()+1 < w.GetParts() {
		r.parts[h.Issuer] = partial{joined: h, next: w.GetPart() + 1}
		return h, false, nil
	}
	delete(r.parts, h.Issuer)
	return h, true, nil
}
