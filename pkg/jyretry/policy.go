package jyretry

import (
	"cmp"
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// MaxAttempts bounds the attempts of one request, the first included, where nothing else is asked for.
const MaxAttempts = 3

// Failure describes an attempt that brought no complete answer.
type Failure struct {
	// CertainlyNotRun is true where the connection failed to open, or the backend server declared that it did not run the request.
	CertainlyNotRun bool
	// MayHaveCrashedServer is true where the connection ended before an answer, so that the request may have ended the backend server.
	MayHaveCrashedServer bool
	Reason               jyoutcome.Reason
}

// Request is what the policy knows of a request.
type Request struct {
	Idempotent bool
	Replayable bool // its body is still at hand
	Attempts   int  // attempts made
	// MaxAttempts bounds them; 0 stands for the constant.
	MaxAttempts int
	MayHaveRun  bool // an earlier attempt may have run
	Remaining   time.Duration
}

// Decision says what follows a failed attempt: a retry, or a refusal.
type Decision struct {
	Retry   bool
	Refusal jyoutcome.Refusal
}

// Decide returns what follows the failure; take asks the retry budget and is called only if all else allows a retry.
func Decide(r Request, f Failure, take func() bool) Decision {
	// A connection that did not open cost no backend server any work, so that its retry is free.
	free := f.CertainlyNotRun && f.Reason == jyoutcome.ConnectFailed
	if mayRetry(r, f) && (free || take()) {
		return Decision{Retry: true}
	}
	return Decision{Refusal: RefusalFor(r, f)}
}

func mayRetry(r Request, f Failure) bool {
	if r.Attempts >= cmp.Or(r.MaxAttempts, MaxAttempts) || r.Remaining <= 0 || !r.Replayable {
		return false
	}
	if f.CertainlyNotRun {
		return true
	}
	return r.Idempotent
}

// RefusalFor returns the truthful refusal after a last failure.
func RefusalFor(r Request, f Failure) jyoutcome.Refusal {
	out := jyoutcome.Refusal{Reason: f.Reason, RetryAfter: time.Second}
	if f.CertainlyNotRun && !r.MayHaveRun {
		out.Outcome = jyoutcome.NotRun
		out.Status = http.StatusServiceUnavailable
		out.Detail = "No backend server ran the request."
		return out
	}
	out.Outcome = jyoutcome.Unknown
	out.Status = http.StatusBadGateway
	if f.Reason == jyoutcome.DeadlinePassed {
		out.Status = http.StatusGatewayTimeout
	}
	out.Detail = "A backend server may have run the request."
	return out
}
