package jyquota

import "time"

// burstTime is the time whose requests an instance with a large share may send at once.
const burstTime = 250 * time.Millisecond

// inBurstTime returns the number of requests that the share allows in burstTime.
func (s Share) inBurstTime() float64 { return float64(s.PerSecond) * burstTime.Seconds() }

// Bucket is the token bucket by which an instance spends its share of one server's limit. The zero value is ready for use. It is not
// safe for concurrent use.
type Bucket struct {
	tokens    float64
	updatedAt time.Time
}

// Has reports whether a request may be sent at now. The first call of Has or Take starts the bucket.
func (b *Bucket) Has(now time.Time, s Share) bool {
	b.start(now, s)
	return b.tokensAt(now, s) >= 1
}

// Take takes the token for one request, and reports whether there was one.
func (b *Bucket) Take(now time.Time, s Share) bool {
	b.start(now, s)
	b.tokens = b.tokensAt(now, s)
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// start begins to fill the bucket unless that was done.
func (b *Bucket) start(now time.Time, s Share) {
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = max(s.Phase, s.inBurstTime()), now
	}
}

// tokensAt returns the tokens at now. A share of 0 has none.
func (b *Bucket) tokensAt(now time.Time, s Share) float64 {
	if s.PerSecond == 0 {
		return 0
	}
	capacity := max(1, s.inBurstTime())
	elapsed := max(0, now.Sub(b.updatedAt))
	return min(capacity, b.tokens+float64(s.PerSecond)*elapsed.Seconds())
}
