package jyproxy

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
)

// ForwarderConfig sets up a Forwarder.
type ForwarderConfig struct {
	// IdleProofOfLife is how long after its last answer a connection may carry a non-idempotent request.
	IdleProofOfLife time.Duration
	// SilentConnectionLag is how long beyond the service's tail latency an idempotent request waits for its answer before it
	// is also sent on a new connection.
	SilentConnectionLag time.Duration
	// OnEvidence is called when there is evidence about a service's servers that should be reported soon. It must not be nil,
	// and may be called concurrently.
	OnEvidence func(jynote.ServiceName)
	BlockList  BlockList
	// Detour may be nil: then no request is sent through another instance.
	Detour Detour
}

// BlockList holds the requests that are suspected of crashing backend servers, or blocked for it. Its methods may be called
// concurrently.
type BlockList interface {
	// IsEmpty reports whether no request is suspected or blocked.
	IsEmpty() bool
	// IsBlocked reports whether a request must not run.
	IsBlocked(f jyblock.Fingerprint) bool
	// RecordAnswer records that a backend server answered a request.
	RecordAnswer(f jyblock.Fingerprint)
	// RecordCrash records that a backend server may have crashed while it ran a request.
	RecordCrash(f jyblock.Fingerprint, c jyblock.Crash, idempotent bool)
}

// Forwarder sends requests to backend servers.
type Forwarder struct {
	config ForwarderConfig
	// silentConnectionAt is when a connection was last found silent, in nanoseconds since the epoch. Other connections may
	// have gone silent at the same time.
	silentConnectionAt atomic.Int64
}

// NewForwarder returns a forwarder with the given configuration.
func NewForwarder(c ForwarderConfig) *Forwarder { return &Forwarder{config: c} }

// forward returns the answer to the request, or a refusal for the caller.
func (f *Forwarder) forward(ctx context.Context, r *request) (*answer, *jyoutcome.Refusal) {
	r.service.RecordPriority(time.Now(), r.priority())
	out, refusal := f.runAttempts(ctx, r)
	if !r.isDetoured && f.isUnserved(r, out, refusal) {
		r.service.RecordUnserved(r.lastPlacement)
	}
	return out, refusal
}

// isUnserved reports whether the service failed to serve the request. Requests that the caller cancelled, whose deadline was too
// short, or that this instance had no lease for, do not count.
func (f *Forwarder) isUnserved(r *request, out *answer, refusal *jyoutcome.Refusal) bool {
	if refusal != nil && (refusal.Reason == jyoutcome.CancelledByCaller || refusal.Reason == jyoutcome.AccountsStale) {
		return false
	}
	if refusal == nil && out.status < http.StatusInternalServerError {
		return false
	}
	return r.deadline.Sub(r.arrived) > minDeadlineFactor*r.service.ServiceTime()
}

// minDeadlineFactor is the number of mean service times that a request's deadline must exceed to count as long enough.
const minDeadlineFactor = 2

// runAttempts makes attempts until one is answered or no further attempt is allowed.
func (f *Forwarder) runAttempts(ctx context.Context, r *request) (*answer, *jyoutcome.Refusal) {
	for {
		now := time.Now()
		if !now.Before(r.deadline) {
			return nil, f.refusalWithReason(r, jyoutcome.DeadlinePassed)
		}
		if f.isBlocked(r) {
			return nil, f.refusalWithReason(r, jyoutcome.RequestBlocked)
		}
		if !r.holdsLease() {
			return nil, r.refusalWithoutLease()
		}
		if out, refusal, isDone := f.runDetour(ctx, r); isDone {
			return out, refusal
		}
		placement, err := r.service.Choose(now, jybackend.Requirements{
			Idempotent: r.match.Idempotent, Exclude: r.tried,
			Objective: r.objective(), IsRetryable: r.isRetryable(), Priority: r.priority(), Account: r.accountName(),
		})
		if err != nil {
			// If no other server is left, the reason is the failure of the last attempt.
			return nil, f.refusalWithoutServer(now, r)
		}
		server := placement.Server
		r.lastPlacement = placement
		r.tried = append(r.tried, server)
		a := &attempt{forwarder: f, request: r, placement: placement}
		out, failure := a.run(ctx)
		if a.gotConnection {
			r.attempts++
		}
		if failure == nil && f.retryServerError(r, out) {
			out.discard()
			r.logRetry(jyoutcome.ServerError)
			r.mayHaveRun = true
			continue
		}
		if failure == nil {
			f.recordAnswer(r)
			return out, nil
		}
		if failure.MayHaveCrashedServer {
			f.recordCrash(r, a)
		}
		if failure.Reason == jyoutcome.AccountsStale {
			return nil, r.refusalWithoutLease()
		}
		decision := jyretry.Decide(jyretry.Request{
			Idempotent:  r.match.Idempotent,
			Replayable:  r.replayable(),
			Attempts:    r.attempts,
			MaxAttempts: r.maxAttempts(),
			MayHaveRun:  r.mayHaveRun,
			Remaining:   time.Until(r.deadline),
			Needed:      r.minRemaining(),
		}, *failure, r.takeRetry)
		if !decision.Retry {
			return nil, f.withReturn(r, decision.Refusal)
		}
		r.lastReason = failure.Reason
		r.logRetry(failure.Reason)
		r.mayHaveRun = r.mayHaveRun || !failure.CertainlyNotRun
	}
}

// retryServerError reports whether a server error (5xx) is retried at another backend server, and takes the retry from the
// budget; without budget the answer is passed on. Any other answer is credited to the budget.
func (f *Forwarder) retryServerError(r *request, a *answer) bool {
	if a.status < http.StatusInternalServerError {
		r.service.CreditSuccess()
		return false
	}
	if time.Until(r.deadline) < r.minRemaining() {
		return false
	}
	if !r.match.Idempotent || !r.replayable() || r.attempts >= r.maxAttempts() || r.attempts >= len(r.service.Servers) {
		return false
	}
	if !r.holdsLease() {
		return false
	}
	return r.takeRetry()
}

// refusalWithReason returns the refusal of a request that gets no first or no further attempt.
func (f *Forwarder) refusalWithReason(r *request, reason jyoutcome.Reason) *jyoutcome.Refusal {
	refusal := jyretry.RefusalFor(
		jyretry.Request{MayHaveRun: r.mayHaveRun},
		jyretry.Failure{CertainlyNotRun: true, Reason: reason})
	if reason == jyoutcome.RequestBlocked {
		refusal.Detail += " It ended backend servers that ran it, and is blocked."
	}
	return f.withReturn(r, refusal)
}

// withReturn returns the refusal with the time after which the caller should come back.
func (f *Forwarder) withReturn(r *request, refusal jyoutcome.Refusal) *jyoutcome.Refusal {
	now := time.Now()
	refusal.RetryAfter = r.service.ReturnAfter(now, r.refused(now, refusal))
	return &refusal
}

// refusalWithoutServer returns the refusal of a request for which no server is left.
func (f *Forwarder) refusalWithoutServer(now time.Time, r *request) *jyoutcome.Refusal {
	refusal := f.refusalWithReason(r, cmp.Or(r.lastReason, NoServerReason(now, r.service)))
	refusal.RetryAfter = cmp.Or(r.service.RetryAfter(now), refusal.RetryAfter)
	return refusal
}

// isBlocked reports whether the request is blocked for crashing backend servers. A request with a streamed body has no
// fingerprint and is never blocked.
func (f *Forwarder) isBlocked(r *request) bool {
	return r.replayable() && !f.config.BlockList.IsEmpty() && f.config.BlockList.IsBlocked(r.blockFingerprint())
}

// recordAnswer records at the block list that the request was answered. For a non-idempotent request it does so only while the
// list is not empty. A request with a streamed body has no fingerprint.
func (f *Forwarder) recordAnswer(r *request) {
	if r.replayable() && (r.match.Idempotent || !f.config.BlockList.IsEmpty()) {
		f.config.BlockList.RecordAnswer(r.blockFingerprint())
	}
}

// recordCrash records at the block list that the server of an attempt may have crashed while it ran the request.
func (f *Forwarder) recordCrash(r *request, a *attempt) {
	if !r.replayable() {
		return
	}
	crash := jyblock.Crash{Server: jyblock.ServerName(a.server().Info.Name), Began: a.started, Ended: time.Now()}
	f.config.BlockList.RecordCrash(r.blockFingerprint(), crash, r.match.Idempotent)
}

// NoServerReason returns the reason for a request that gets no first attempt: its service has no usable servers, none is free, or
// all are at the limits that they state.
func NoServerReason(now time.Time, v *jybackend.Service) jyoutcome.Reason {
	if v.LimitedRate(now) > 0 {
		return jyoutcome.LimitReached
	}
	if v.Capacity().UsableSlots > 0 {
		return jyoutcome.Overloaded
	}
	return jyoutcome.NoBackendServer
}

// requiredAliveSince returns since when a connection must have been known alive to carry a non-idempotent request. This is
// IdleProofOfLife ago, or the time at which a connection was last found silent if that is later.
func (f *Forwarder) requiredAliveSince(now time.Time) time.Time {
	recent := now.Add(-f.config.IdleProofOfLife)
	if silentAt := time.Unix(0, f.silentConnectionAt.Load()); silentAt.After(recent) {
		return silentAt
	}
	return recent
}

// refusalStatus returns the HTTP status of a refusal by its outcome and reason, for stored results, which carry no status.
func refusalStatus(o jyoutcome.Outcome, r jyoutcome.Reason) int {
	switch r {
	case jyoutcome.RequestIDInvalid, jyoutcome.RequestIDReused:
		return http.StatusUnprocessableEntity
	case jyoutcome.DeadlinePassed:
		if o == jyoutcome.Unknown {
			return http.StatusGatewayTimeout
		}
	case jyoutcome.RequestIDExpired:
		return http.StatusGone
	case jyoutcome.KeyUnknown:
		return http.StatusUnauthorized
	}
	if o == jyoutcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
