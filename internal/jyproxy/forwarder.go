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
	IdleProofOfLife     time.Duration
	SilentConnectionLag time.Duration
	// OnEvidence is called when a service has evidence that should be reported soon.
	OnEvidence func(jynote.ServiceName)
	BlockList  BlockList
}

// BlockList knows the requests that end backend servers.
type BlockList interface {
	IsEmpty() bool
	IsBlocked(f jyblock.Fingerprint) bool
	Completed(f jyblock.Fingerprint)
	Crashed(f jyblock.Fingerprint, server jyblock.ServerName, idempotent bool)
}

// Forwarder sends requests to backend servers.
type Forwarder struct {
	config ForwarderConfig
	// quietAt is when a connection was last found silent, in nanoseconds since the epoch: others may have gone silent with it.
	quietAt atomic.Int64
}

// NewForwarder returns a forwarder.
func NewForwarder(c ForwarderConfig) *Forwarder { return &Forwarder{config: c} }

// forward returns the answer to the request, or the refusal that the caller gets.
func (f *Forwarder) forward(ctx context.Context, r *request) (*answer, *jyoutcome.Refusal) {
	out, refusal := f.try(ctx, r)
	if f.isUnserved(r, out, refusal) {
		r.service.RecordUnserved(r.last)
	}
	return out, refusal
}

// isUnserved reports whether the service failed the caller; one that left, or allowed too little time, was not failed.
func (f *Forwarder) isUnserved(r *request, out *answer, refusal *jyoutcome.Refusal) bool {
	if refusal != nil && refusal.Reason == jyoutcome.CancelledByCaller {
		return false
	}
	if refusal == nil && out.status < http.StatusInternalServerError {
		return false
	}
	return r.deadline.Sub(r.arrived) > leastTime*r.service.ServiceTime()
}

// leastTime is how many times longer than the usual work a request must be allowed to take to be served as a rule.
const leastTime = 2

// try makes attempts until one is answered, or no other may follow.
func (f *Forwarder) try(ctx context.Context, r *request) (*answer, *jyoutcome.Refusal) {
	for {
		now := time.Now()
		if !now.Before(r.deadline) {
			return nil, f.refuse(r, jyoutcome.DeadlinePassed)
		}
		if f.isBlocked(r) {
			return nil, f.refuse(r, jyoutcome.RequestBlocked)
		}
		placement, err := r.service.Choose(now, jybackend.Requirements{Idempotent: r.match.Idempotent, Exclude: r.tried, Objective: r.objective(), IsRetryable: r.isRepeatable()})
		if err != nil {
			// Where no other server is left, what became of the last attempt is the reason.
			return nil, f.refuseWithout(now, r)
		}
		server := placement.Server
		r.last = placement
		r.tried = append(r.tried, server)
		a := &attempt{forwarder: f, request: r, placement: placement}
		out, failure := a.run(ctx)
		if a.wasSent {
			r.attempts++
		}
		if failure == nil && f.retriesAnswer(r, out) {
			out.discard()
			r.logRetry(jyoutcome.ServerError)
			r.mayHaveRun = true
			continue
		}
		if failure == nil {
			f.completed(r)
			return out, nil
		}
		if failure.MayHaveCrashedServer {
			f.crashed(r, server)
		}
		decision := jyretry.Decide(jyretry.Request{
			Idempotent:  r.match.Idempotent,
			Replayable:  r.replayable(),
			Attempts:    r.attempts,
			MaxAttempts: r.maxAttempts(),
			MayHaveRun:  r.mayHaveRun,
			Remaining:   time.Until(r.deadline),
		}, *failure, r.service.TakeRetry)
		if !decision.Retry {
			return nil, &decision.Refusal
		}
		r.reason = failure.Reason
		r.logRetry(failure.Reason)
		r.mayHaveRun = r.mayHaveRun || !failure.CertainlyNotRun
	}
}

// retriesAnswer reports whether a server error is tried again at another backend server; without budget it is passed on.
func (f *Forwarder) retriesAnswer(r *request, a *answer) bool {
	if a.status < http.StatusInternalServerError {
		r.service.CreditSuccess()
		return false
	}
	if time.Until(r.deadline) < r.service.ServiceTime()/2 {
		// Another server could not do the work either in what is left.
		return false
	}
	if !r.match.Idempotent || !r.replayable() || r.attempts >= r.maxAttempts() || r.attempts >= len(r.service.Servers) {
		return false
	}
	return r.service.TakeRetry()
}

// refuse returns the refusal of a request that is not tried, or not tried again.
func (f *Forwarder) refuse(r *request, reason jyoutcome.Reason) *jyoutcome.Refusal {
	refusal := jyretry.RefusalFor(
		jyretry.Request{MayHaveRun: r.mayHaveRun},
		jyretry.Failure{CertainlyNotRun: true, Reason: reason})
	if reason == jyoutcome.RequestBlocked {
		refusal.RetryAfter = 0
		refusal.Detail += " It ended backend servers that ran it, and is blocked."
	}
	return &refusal
}

// refuseWithout returns the refusal of a request for which no server is left; servers that asked for a pause say when one is.
func (f *Forwarder) refuseWithout(now time.Time, r *request) *jyoutcome.Refusal {
	refusal := f.refuse(r, cmp.Or(r.reason, noServerReason(r.service)))
	refusal.RetryAfter = cmp.Or(r.service.TimeUntilAvailable(now), refusal.RetryAfter)
	return refusal
}

// isBlocked reports whether the request ended backend servers before; a body that streams is not known.
func (f *Forwarder) isBlocked(r *request) bool {
	return r.replayable() && !f.config.BlockList.IsEmpty() && f.config.BlockList.IsBlocked(jyblock.Fingerprint(r.fingerprint()))
}

func (f *Forwarder) completed(r *request) {
	if r.replayable() && (r.match.Idempotent || !f.config.BlockList.IsEmpty()) {
		f.config.BlockList.Completed(jyblock.Fingerprint(r.fingerprint()))
	}
}

func (f *Forwarder) crashed(r *request, s *jybackend.Server) {
	if r.replayable() {
		f.config.BlockList.Crashed(jyblock.Fingerprint(r.fingerprint()), jyblock.ServerName(s.Info.Name), r.match.Idempotent)
	}
}

func noServerReason(v *jybackend.Service) jyoutcome.Reason {
	if v.Capacity().UsableSlots > 0 {
		return jyoutcome.Overloaded
	}
	return jyoutcome.NoBackendServer
}

// proofAfter returns since when a connection must have shown life to carry a non-idempotent request.
func (f *Forwarder) proofAfter(now time.Time) time.Time {
	recent := now.Add(-f.config.IdleProofOfLife)
	if quiet := time.Unix(0, f.quietAt.Load()); quiet.After(recent) {
		return quiet
	}
	return recent
}

// statusFor returns the HTTP status of a refusal by reason alone, for results that were remembered.
func statusFor(o jyoutcome.Outcome, r jyoutcome.Reason) int {
	switch r {
	case jyoutcome.RequestIDInvalid, jyoutcome.RequestIDReused:
		return http.StatusUnprocessableEntity
	case jyoutcome.DeadlinePassed:
		if o == jyoutcome.Unknown {
			return http.StatusGatewayTimeout
		}
	case jyoutcome.RequestIDExpired:
		return http.StatusGone
	}
	if o == jyoutcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
