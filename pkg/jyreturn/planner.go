package jyreturn

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

const (
	// shortest and shortSpread bound the time after which a caller comes back whom another attempt may serve at once. The spread
	// keeps callers that were refused together from coming back together.
	shortest    = 50 * time.Millisecond
	shortSpread = 100 * time.Millisecond
	// returnShare is the share of a full service's room that callers who come back may use: new requests take the rest, and can
	// still meet their objective.
	returnShare = 0.5
	// Long is the time for a request that can't be served before its deadline.
	Long = time.Second
	// usableDivisor divides the time that a caller has left to get the longest time that it waits.
	usableDivisor = 3
	// callerRoundTrip is the time for a refusal to reach the caller and for its next request to arrive.
	callerRoundTrip = 6 * time.Millisecond
)

// Planner spreads the refused callers of one service over the times at which there is room for them. The zero value is ready for
// use. It is not safe for concurrent use.
type Planner struct {
	room jyquota.Returns
}

// After returns after how long the caller of the refused request should come back, or 0 if that would not help. random is in [0, 1).
// The time is one that the caller can use if the request can then still be served before its deadline, and longer if not.
func (p *Planner) After(now time.Time, r Refused, c Capacity, random float64) time.Duration {
	switch r.kind() {
	case never:
		return 0
	case lasting:
		return Long
	case competing:
		if rate := c.RatePerInstance(); rate > 0 && !c.HasRoom() {
			return fit(p.room.Next(now, jyquota.Rate(returnShare*rate)), r.Remaining, c.ServiceTime)
		}
	}
	short := shortest + time.Duration(random*float64(shortSpread))
	return fit(min(short, max(shortest, usable(r.Remaining))), r.Remaining, c.ServiceTime)
}

// fit returns wait if a caller with that time remaining can use it and be served afterwards, and a longer time if not.
func fit(wait, remaining, serviceTime time.Duration) time.Duration {
	if wait <= usable(remaining) && wait+callerRoundTrip+serviceTime <= remaining {
		return wait
	}
	return max(wait, usable(remaining), Long)
}

// usable returns the longest time that a caller with that time remaining waits.
func usable(remaining time.Duration) time.Duration {
	return max(0, remaining-callerRoundTrip) / usableDivisor
}
