package jyload

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Config sets up a run.
type Config struct {
	// Entries are the addresses that requests go to in turn, such as "http://127.0.0.1:8081".
	Entries []string
	// Paths are the request paths, taken in turn.
	Paths []string
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// WriteShare of the requests are non-idempotent and carry a request id.
	WriteShare float64
	// PlainShare of the non-idempotent requests carry no request id.
	PlainShare float64
	// Resends is how often a request with an unknown outcome is sent again, through the next entry.
	Resends int
	// Servers are stand-in backend servers whose counts are checked at the end.
	Servers  []string
	Callers  int
	BodySize int
	// MaxInFlight bounds the requests in progress; what would go beyond is counted as Unsent.
	MaxInFlight int
	Timeout     time.Duration
}

// Result is what a run found.
type Result struct {
	Sent     int
	Unsent   int
	Outcomes map[jyoutcome.Outcome]int
	Reasons  map[jyoutcome.Reason]int
	// Broken counts requests whose connection failed or ended within the answer.
	Broken    int
	ServerErr int // complete answers with a status of 500 or more
	Resent    int

	Foreign   int // answers that belong to another request
	Truncated int // incomplete answers passed off as complete

	Twice          int // non-idempotent requests that took effect more than once
	RanAfterNotRun int // requests that took effect although NotRun was told
	LostWork       int // non-idempotent requests told Complete that took no effect
	UnknownNotRun  int // requests told Unknown that in truth took no effect

	Seconds float64
	P50     time.Duration
	P99     time.Duration
	P999    time.Duration
	Max     time.Duration
}

// IsSafe reports whether nothing happened that must never happen.
func (r Result) IsSafe() bool {
	return r.Foreign+r.Truncated+r.Twice+r.RanAfterNotRun+r.LostWork == 0
}
