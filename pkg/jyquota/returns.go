package jyquota

import "time"

// The bounds of the time after which a rejected caller is told to come back. By the latest one, the limit may have ended.
const (
	minReturnWait = 50 * time.Millisecond
	maxReturnWait = 5 * time.Second
)

// Returns spreads the times at which rejected callers come back, so that no more of them do than can be served. The zero value is
// ready for use. It is not safe for concurrent use.
type Returns struct {
	last time.Time // the latest time that a caller was given
}

// Next returns after how long the next rejected caller should come back, where rate is the rate at which callers can be served.
func (r *Returns) Next(now time.Time, rate Rate) time.Duration {
	latest := now.Add(maxReturnWait)
	if r.last.Before(now) {
		r.last = now
	}
	gap := maxReturnWait
	if seconds := 1 / float64(rate); rate > 0 && seconds < maxReturnWait.Seconds() {
		gap = time.Duration(seconds * float64(time.Second))
	}
	r.last = r.last.Add(gap)
	if r.last.After(latest) {
		r.last = latest
	}
	return max(minReturnWait, r.last.Sub(now))
}
