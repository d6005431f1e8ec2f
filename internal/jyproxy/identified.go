package jyproxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

// maxIdentifiedAnswerBytes bounds the answer to a request with a request id. Such an answer is buffered completely, to be
// stored for resends and relayed between instances.
const maxIdentifiedAnswerBytes = 1 << 20

// Ledger issues request ids and ensures that the request of each id runs at most once in this process. Its methods may be called
// concurrently.
type Ledger interface {
	// Issue returns count new ids for the caller.
	Issue(c jydedup.Caller, count int) []jydedup.ID
	// Owns reports whether this process owns the ids of the issuer.
	Owns(i jydedup.Issuer) bool
	// Once calls start at most once for the id and returns its result, also to resends. The second value is false if ctx ended
	// first.
	Once(ctx context.Context, id jydedup.ID, c jydedup.Caller, f jydedup.Fingerprint, start func() jydedup.Result) (jydedup.Decision, bool)
}

// RelayedRequest is a request with a request id that is passed to the instance that owns the id.
type RelayedRequest struct {
	ID        jydedup.ID
	Caller    jydedup.Caller
	Method    string
	URI       string // the request target
	Host      string
	Header    http.Header
	Body      []byte
	Remaining time.Duration // until the deadline
}

// Relayer passes requests to the instances that own their request ids.
type Relayer interface {
	// Relay returns the result of the request. After an error, the outcome is unknown. It may be called concurrently.
	Relay(ctx context.Context, r RelayedRequest) (jydedup.Result, error)
}

// runIdentified runs a request that carries a request id, here or at the instance that owns the id.
func (p *Proxy) runIdentified(ctx context.Context, r *request, id jydedup.ID) jydedup.Result {
	if p.config.Ledger.Owns(id.Issuer) {
		return p.runOnce(ctx, r, id)
	}
	result, err := p.config.Relayer.Relay(ctx, RelayedRequest{
		ID: id, Caller: jydedup.Caller(r.caller), Method: r.method, URI: r.uri, Host: r.host,
		Header: r.relayedHeader(), Body: r.body, Remaining: time.Until(r.deadline),
	})
	if err != nil {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.OwnerUnreachable}
	}
	return result
}

// runOnce runs the request here unless its request id was used before; then it returns the stored result.
func (p *Proxy) runOnce(ctx context.Context, r *request, id jydedup.ID) jydedup.Result {
	d, ok := p.config.Ledger.Once(ctx, id, jydedup.Caller(r.caller), r.fingerprint(), func() jydedup.Result {
		p.inProgress.Add(1)
		defer p.inProgress.Add(-1)
		// The caller may disconnect; the request still runs to its end, and its outcome is kept for a resend.
		detached, cancel := context.WithDeadline(context.Background(), r.deadline)
		defer cancel()
		return p.runBuffered(detached, r)
	})
	if !ok {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: contextReason(ctx)}
	}
	if d.Action == jydedup.Forward {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.OwnerUnreachable}
	}
	return d.Result
}

// runBuffered forwards the request and buffers the complete answer.
func (p *Proxy) runBuffered(ctx context.Context, r *request) jydedup.Result {
	a, refusal := p.config.Forwarder.forward(ctx, r)
	if refusal != nil {
		return jydedup.Result{Outcome: refusal.Outcome, Reason: refusal.Reason}
	}
	if a.remainder == nil {
		return a.result()
	}
	more, err := io.ReadAll(io.LimitReader(a.remainder, maxIdentifiedAnswerBytes+1-int64(len(a.body))))
	a.body = append(a.body, more...)
	complete := err == nil && len(a.body) <= maxIdentifiedAnswerBytes
	a.finish(complete)
	switch {
	case err != nil:
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.AnswerLost}
	case !complete:
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.AnswerTooLarge}
	}
	return a.result()
}

// RunRelayed runs a request that another instance relayed because this one owns its request id.
func (p *Proxy) RunRelayed(ctx context.Context, in RelayedRequest) jydedup.Result {
	r := &request{
		method: in.Method, uri: in.URI, host: in.Host, header: in.Header, body: in.Body,
		length: int64(len(in.Body)), caller: string(in.Caller), arrived: time.Now(), dialect: &p.config.Dialect,
	}
	if refusal := p.route(r, pathOf(in.URI)); refusal != nil {
		return p.refuseUnrouted(ctx, r, in.ID, refusal)
	}
	if !r.acceptAccount(jynote.AccountName(in.Header.Get(HeaderAccount))) {
		return p.refuseUnrouted(ctx, r, in.ID, unknownAccount())
	}
	r.deadline = r.arrived.Add(min(in.Remaining, timeoutOf(r.match)))
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return p.runOnce(ctx, r, in.ID)
}

// refuseUnrouted refuses a request with a request id that this instance cannot route. If a result is already stored for the id,
// it is returned instead.
func (p *Proxy) refuseUnrouted(ctx context.Context, r *request, id jydedup.ID, refusal *jyoutcome.Refusal) jydedup.Result {
	d, ok := p.config.Ledger.Once(ctx, id, jydedup.Caller(r.caller), r.fingerprint(), func() jydedup.Result {
		return jydedup.Result{Outcome: refusal.Outcome, Reason: refusal.Reason}
	})
	if !ok || d.Action == jydedup.Forward {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.OwnerUnreachable}
	}
	return d.Result
}

// timeoutOf returns how long a request may take: the service's deadline, or the route's timeout if that is shorter.
func timeoutOf(m jyroute.Match) time.Duration {
	limit := m.Service.DeadlineMilliseconds
	if routeTimeout := m.Route.TimeoutMilliseconds; routeTimeout > 0 {
		limit = min(limit, routeTimeout)
	}
	return time.Duration(limit) * time.Millisecond
}
