package jyretry

import (
	"cmp"
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// MaxAttempts is the default limit on the attempts of one request, including the first.
const MaxAttempts = 3

// Failure describes an attempt without a complete answer.
type Failure struct {
	// CertainlyNotRun is true if nothing was sent to the backend server, or the server declared that it did not run the request.
	CertainlyNotRun bool
	// MayHaveCrashedServer is true if the connection ended before the answer was complete, so that the request may have crashed
	// the backend server.
	MayHaveCrashedServer bool
	Reason               jyoutcome.Reason
}

// Request holds the properties of a request on which a retry depends.
type Request struct {
	Idempotent bool
	Replayable bool // its body is buffered and can be sent again
	Attempts   int  // attempts made so far, including the failed one
	// MaxAttempts bounds Attempts; 0 stands for the constant MaxAttempts.
	MaxAttempts int
	MayHaveRun  bool          // an earlier attempt may have run
	Remaining   time.Duration // until its deadline
	Needed      time.Duration // the remaining time below which no server is expected to answer
}

// Decision is a retry or, if Retry is false, a refusal.
type Decision struct {
	Retry   bool
	Refusal jyoutcome.Refusal
}

// Decide returns what follows a failed attempt. It calls takeRetry, which takes a retry from the budget, only if the retry is
// otherwise allowed and not free.
func Decide(r Request, f Failure, takeRetry func() bool) Decision {
	// A failed connection attempt costs no backend server any work, so its retry is free.
	free := f.CertainlyNotRun && f.Reason == jyoutcome.ConnectFailed
	if mayRetry(r, f) && (free || takeRetry()) {
		return Decision{Retry: true}
	}
	return Decision{Refusal: RefusalFor(r, f)}
}

func mayRetry(r Request, f Failure) bool {
	if r.Attempts >= cmp.Or(r.MaxAttempts, MaxAttempts) || r.Remaining <= r.Needed || !r.Replayable {
		return false
	}
	if f.CertainlyNotRun {
		return true
	}
	return r.Idempotent
}

// RefusalFor returns the refusal after the last failure: NotRun if no attempt can have run, and otherwise Unknown. Its status is
// 503 for NotRun, 504 for an Unknown after the deadline, and otherwise 502.
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
