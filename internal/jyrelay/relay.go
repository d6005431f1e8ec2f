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

// Fleet is the part of the membership that a Relay uses. jyfleet.Fleet implements it.
type Fleet interface {
	Self() jymember.Member
	Owner(r jymember.Run) (jymember.Member, bool)
	RankedForKey(key string, count int, only func(jymember.Member) bool) []jymember.Member
	AddSuccession(s jymember.Succession)
}

// Runner runs requests that peers relayed to this instance.
type Runner interface {
	RunRelayed(ctx context.Context, r jyproxy.RelayedRequest) jydedup.Result
}

// Config sets up a Relay.
type Config struct {
	Clients *jypeer.Clients
	Fleet   Fleet
	Ledger  *jyledger.Ledger
}

// Relay sends requests to the owners of their ids, runs the requests that peers send, and hands ids over to a successor. Its
// methods other than SetRunner may be called concurrently.
type Relay struct {
	config     Config
	runner     Runner
	mu         sync.Mutex
	incomplete map[jydedup.Issuer]partialHandOver
}

// partialHandOver holds the parts of a hand-over that were received so far.
type partialHandOver struct {
	received jydedup.HandOver
	nextPart uint32
}

// New returns a relay; SetRunner must be called before peers can reach it.
func New(c Config) *Relay {
	return &Relay{config: c, incomplete: map[jydedup.Issuer]partialHandOver{}}
}

// SetRunner sets what runs the requests that peers relay.
func (r *Relay) SetRunner(runner Runner) { r.runner = runner }

// Relay sends a request to the owner of its id and returns the result. After an error, which is of kind NoHolder or Unreachable,
// the outcome is unknown.
func (r *Relay) Relay(ctx context.Context, in jyproxy.RelayedRequest) (jydedup.Result, error) {
	const op = "relay request"
	run := jymember.Run{Name: jymember.Name(in.ID.Issuer.Instance), Boot: jymember.Boot(in.ID.Issuer.Boot)}
	owner, ok := r.config.Fleet.Owner(run)
	if !ok || owner.Address == "" || owner.Name == r.config.Fleet.Self().Name {
		return jydedup.Result{}, jyfault.New(op, NoHolder, "%s", in.ID.Issuer.Instance)
	}
	resp, err := r.config.Clients.At(owner.Address).Relay(ctx, connect.NewRequest(&jywire.RelayRequest{
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

// HandleRelay runs a request that a peer relayed, and returns its result.
func (r *Relay) HandleRelay(ctx context.Context, q *connect.Request[jywire.RelayRequest]) (*connect.Response[jywire.RelayResponse], error) {
	m := q.Msg
	result := r.runner.RunRelayed(ctx, jyproxy.RelayedRequest{
		ID: jypeer.IDFromWire(m.GetId()), Caller: jydedup.Caller(m.GetCaller()), Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(),
		Header: jypeer.HeadersFromWire(m.GetHeaders()), Body: m.GetBody(), Remaining: time.Duration(m.GetRemainingMilliseconds()) * time.Millisecond,
	})
	return connect.NewResponse(&jywire.RelayResponse{Result: jypeer.ResultToWire(result)}), nil
}

// HandOver sends all request ids that this process owns to one successor and returns it. The ledger must be sealed, and no
// request may be running. If a run is returned with an error, it owns the ids of some issuers only.
//
// The next candidate is tried only after a refusal. If an answer is lost, the first candidate may have imported the ids, and
// then no second one may import them.
func (r *Relay) HandOver(ctx context.Context) (*jymember.Run, error) {
	const op = "hand request ids over"
	list, err := r.config.Ledger.Export()
	if err != nil {
		return nil, jyfault.New(op, NotSealed, "%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	self := r.config.Fleet.Self()
	isCandidate := func(m jymember.Member) bool {
		return m.Name != self.Name && m.Status == jymember.Alive && m.Address != ""
	}
	for _, m := range r.config.Fleet.RankedForKey("successor/"+string(self.Name), maxCandidates, isCandidate) {
		run, err := r.handOverTo(ctx, m, list)
		if err == nil {
			return run, nil
		}
		if connect.CodeOf(err) != connect.CodeFailedPrecondition {
			return run, jyfault.New(op, Unreachable, "%w", err)
		}
	}
	return nil, jyfault.New(op, NoHolder, "no other instance accepts them")
}

// handOverTo sends the ids of all issuers to one candidate. If the first issuer fails, it returns nil and the error of the
// call: after a refusal the candidate has imported nothing. If a later one fails, it returns the candidate and an error.
func (r *Relay) handOverTo(ctx context.Context, m jymember.Member, list []jydedup.HandOver) (*jymember.Run, error) {
	var successor *jymember.Run
	records := 0
	for _, h := range list {
		run, err := r.sendParts(ctx, m, h)
		if err != nil && successor != nil {
			// %v drops the code of the call, so that HandOver does not try another candidate even after a refusal.
			return successor, jyfault.New("hand request ids over", Unreachable, "after the first issuer: %v", err)
		}
		if err != nil {
			return nil, err
		}
		successor = &run
		records += len(h.Records)
		issuer := jymember.Run{Name: jymember.Name(h.Issuer.Instance), Boot: jymember.Boot(h.Issuer.Boot)}
		r.config.Fleet.AddSuccession(jymember.Succession{From: issuer, To: run})
	}
	jylog.HandOverDone.Log(m.Name, records)
	return successor, nil
}

// sendParts sends the ids of one issuer in parts; with the last part the successor becomes their owner.
func (r *Relay) sendParts(ctx context.Context, m jymember.Member, h jydedup.HandOver) (jymember.Run, error) {
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

// recordsPerPart keeps a part with the largest answers below the maximum size of a message.
const recordsPerPart = 100

// maxCandidates is the maximum number of candidates for a hand-over, which are tried in turn.
const maxCandidates = 3

const handOverTimeout = 5 * time.Second

// HandleHandOver imports the ids of an instance that shuts down, once all parts of its hand-over have arrived.
func (r *Relay) HandleHandOver(
	_ context.Context, q *connect.Request[jywire.HandOverRequest],
) (*connect.Response[jywire.HandOverResponse], error) {
	h, complete, err := r.addPart(q.Msg)
	if err == nil && complete {
		err = r.config.Ledger.Import(h)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	self := r.config.Fleet.Self()
	run := jymember.Run{Name: self.Name, Boot: self.Boot}
	if !complete {
		return connect.NewResponse(&jywire.HandOverResponse{Successor: jypeer.RunToWire(run)}), nil
	}
	issuer := jymember.Run{Name: jymember.Name(h.Issuer.Instance), Boot: jymember.Boot(h.Issuer.Boot)}
	r.config.Fleet.AddSuccession(jymember.Succession{From: issuer, To: run})
	jylog.HandOverReceived.Log(h.Issuer.Instance, len(h.Records))
	return connect.NewResponse(&jywire.HandOverResponse{Successor: jypeer.RunToWire(run)}), nil
}

// addPart adds a part to the previous ones, and returns the hand-over once it is complete. The first part replaces an incomplete
// hand-over of the same issuer.
func (r *Relay) addPart(w *jywire.HandOverRequest) (h jydedup.HandOver, complete bool, err error) {
	h = jypeer.HandOverFromWire(w)
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.GetPart() > 0 {
		p := r.incomplete[h.Issuer]
		if p.nextPart != w.GetPart() {
			return h, false, jyfault.New("take request ids over", MissingPart, "part %d came in place of %d", w.GetPart(), p.nextPart)
		}
		h.Records = append(p.received.Records, h.Records...)
	}
	if w.GetPart()+1 < w.GetParts() {
		r.incomplete[h.Issuer] = partialHandOver{received: h, nextPart: w.GetPart() + 1}
		return h, false, nil
	}
	delete(r.incomplete, h.Issuer)
	return h, true, nil
}
