package jyproxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

// maxIdentifiedAnswer bounds the answer to a request that carries a request id, since it travels whole.
const maxIdentifiedAnswer = 1 << 20

// Ledger lets a request id's request run at most once in this process.
type Ledger interface {
	Issue(c jydedup.Caller, count int) []jydedup.ID
	Owns(i jydedup.Issuer) bool
	Once(ctx context.Context, id jydedup.ID, c jydedup.Caller, f jydedup.Fingerprint, start func() jydedup.Result) (jydedup.Decision, bool)
}

// RelayedRequest is a request with an id on its way to the instance that decides about the id.
type RelayedRequest struct {
	ID        jydedup.ID
	Caller    jydedup.Caller
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Remaining time.Duration
}

// Relayer passes a request to the instance that decides about its id; an error means that the outcome is unknown.
type Relayer interface {
	Relay(ctx context.Context, r RelayedRequest) (jydedup.Result, error)
}

// identified answers a request that carries a request id.
func (p *Proxy) identified(ctx context.Context, r *request, id jydedup.ID) jydedup.Result {
	if p.config.Ledger.Owns(id.Issuer) {
		return p.owned(ctx, r, id)
	}
	result, err := p.config.Relayer.Relay(ctx, RelayedRequest{
		ID: id, Caller: jydedup.Caller(r.caller), Method: r.method, URI: r.uri, Host: r.host,
		Header: r.header, Body: r.body, Remaining: time.Until(r.deadline),
	})
	if err != nil {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.OwnerUnreachable}
	}
	return result
}

// owned runs the request here, unless its id was used before.
func (p *Proxy) owned(ctx context.Context, r *request, id jydedup.ID) jydedup.Result {
	d, ok := p.config.Ledger.Once(ctx, id, jydedup.Caller(r.caller), r.fingerprint(), func() jydedup.Result {
		p.inProgress.Add(1)
		defer p.inProgress.Add(-1)
		// The caller may go away; the request's outcome is kept for its resend.
		own, cancel := context.WithDeadline(context.Background(), r.deadline)
		defer cancel()
		return p.runWhole(own, r)
	})
	if !ok {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: reasonOf(ctx)}
	}
	if d.Action == jydedup.Forward {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.OwnerUnreachable}
	}
	return d.Result
}

// runWhole forwards the request and holds the whole answer.
func (p *Proxy) runWhole(ctx context.Context, r *request) jydedup.Result {
	a, refusal := p.config.Forwarder.forward(ctx, r)
	if refusal != nil {
		return jydedup.Result{Outcome: refusal.Outcome, Reason: refusal.Reason}
	}
	if a.rest == nil {
		return a.result()
	}
	more, err := io.ReadAll(io.LimitReader(a.rest, maxIdentifiedAnswer+1-int64(len(a.body))))
	a.body = append(a.body, more...)
	complete := err == nil && len(a.body) <= maxIdentifiedAnswer
	a.finish(complete)
	switch {
	case err != nil:
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.AnswerLost}
	case !complete:
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.AnswerTooLarge}
	}
	return a.result()
}

// Decide runs a request that another instance relayed because this one decides about its id.
func (p *Proxy) Decide(ctx context.Context, in RelayedRequest) jydedup.Result {
	r := &request{
		method: in.Method, uri: in.URI, host: in.Host, header: in.Header, body: in.Body,
		length: int64(len(in.Body)), caller: string(in.Caller), arrived: time.Now(), dialect: &p.config.Dialect,
	}
	if refusal := p.route(r, pathOf(in.URI)); refusal != nil {
		return p.unrouted(ctx, r, in.ID, refusal)
	}
	r.deadline = r.arrived.Add(min(in.Remaining, timeoutOf(r.match)))
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return p.owned(ctx, r, in.ID)
}

// unrouted answers a request with an id for which no route is in force here; a result that the id has already stands.
func (p *Proxy) unrouted(ctx context.Context, r *request, id jydedup.ID, refusal *jyoutcome.Refusal) jydedup.Result {
	d, ok := p.config.Ledger.Once(ctx, id, jydedup.Caller(r.caller), r.fingerprint(), func() jydedup.Result {
		return jydedup.Result{Outcome: refusal.Outcome, Reason: refusal.Reason}
	})
	if !ok || d.Action == jydedup.Forward {
		return jydedup.Result{Outcome: jyoutcome.Unknown, Reason: jyoutcome.OwnerUnreachable}
	}
	return d.Result
}

// timeoutOf returns how long a request on the route may take.
func timeoutOf(m jyroute.Match) time.Duration {
	limit := m.Service.DeadlineMilliseconds
	if own := m.Route.TimeoutMilliseconds; own > 0 {
		limit = min(limit, own)
	}
	return time.Duration(limit) * time.Millisecond
}
