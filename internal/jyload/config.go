package jyload

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Config sets up a run.
type Config struct {
	// Entries are the base URLs of the instances that requests go to in turn, such as "http://127.0.0.1:8081".
	Entries []string
	// Paths are the request paths, used in turn.
	Paths []string
	// Rate is in requests per second.
	Rate float64
	// Duration is the time in which requests are sent.
	Duration time.Duration
	// WriteShare is the share of requests, from 0 to 1, that are non-idempotent (POST). The others are GETs, which carry no
	// request id.
	WriteShare float64
	// NoRequestIDShare is the share of the non-idempotent requests, from 0 to 1, that carry no request id. They are never sent
	// again.
	NoRequestIDShare float64
	// Resends is how often a request is sent again at most, to the next entry each time, while its outcome is neither Complete nor
	// NotRun. It also bounds how often a failed fetch of a request id is repeated.
	Resends int
	// Servers are the addresses, host and port, of the stand-in backend servers whose counts of effects are checked at the end.
	// If it is empty, effects are not checked.
	Servers []string
	// Callers is the number of client accounts that requests come from in turn.
	Callers int
	// BodySize is the size of a non-idempotent request's body in bytes, without its token.
	BodySize int
	// MaxInFlight bounds the requests in progress; requests beyond it are counted as Unsent.
	MaxInFlight int
	// Timeout bounds each attempt and each fetch of a request id.
	Timeout time.Duration
}

// Result is the result of a run.
type Result struct {
	Sent     int                       // requests, each counted once however often it was sent again
	Unsent   int                       // requests left out because MaxInFlight was reached
	Outcomes map[jyoutcome.Outcome]int // of the last attempts with a whole answer
	Reasons  map[jyoutcome.Reason]int  // of the last attempts whose answer states a reason
	// Broken counts requests that got no request id, or whose last attempt got no whole answer: the connection failed, timed
	// out or ended early.
	Broken    int
	ServerErr int // complete answers with a status of 500 or more
	Resent    int // times that a request was sent again

	Foreign   int // answers that belong to another request
	Truncated int // answers with the outcome Complete whose body is not whole

	Twice          int // non-idempotent requests that took effect more than once
	RanAfterNotRun int // non-idempotent requests with the outcome NotRun that took effect
	LostWork       int // non-idempotent requests with the outcome Complete and a status below 500 that took no effect
	UnknownNotRun  int // non-idempotent requests without effect whose outcome was Unknown, or Complete with a status of 500 or more

	Seconds float64 // duration of the run, without the check of the effects
	// Quantiles of the latencies, which are measured from the scheduled time of a request to the end of its last attempt.
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
	Max  time.Duration
}

// IsSafe reports whether the run found no wrong answer and no wrong outcome. UnknownNotRun is allowed, since the outcome Unknown
// says nothing about the effect.
func (r Result) IsSafe() bool {
	return r.Foreign+r.Truncated+r.Twice+r.RanAfterNotRun+r.LostWork == 0
}
