package jyaccountquota

import (
	"math/rand/v2"
	"time"
)

// The bounds in seconds of the time after which a refused caller is told to come back. By the latest one, the load may have changed.
const (
	minReturnWait = 0.05
	maxReturnWait = 5.0
)

// nextReturn returns after how long the next refused caller should come back: when the bucket has room, and after the callers that
// this instance has refused before. The instance counts on the part of the quota that it got lately.
func (b *bucket) nextReturn(now moment, c contact, random *rand.Rand) time.Duration {
	rate := b.quota.PerSecond * c.factor
	wait := (1 - b.level) / b.quota.PerSecond
	if !c.isWhole() {
		wait = max(wait, (min(1, c.capacity(b.quota))-b.part.level)/rate)
	}
	gap := min(maxReturnWait, 1/(rate*b.ownShare(now, c)))
	next := b.returnAt.add(gap)
	if first := now.add(max(0, wait)); next < first {
		next = first.add(gap * random.Float64())
	}
	next = min(next, now.add(maxReturnWait))
	b.returnAt = max(b.returnAt, next)
	return time.Duration(max(next, now.add(minReturnWait)) - now)
}

// ownShare returns the share of the account's admissions that were this instance's; without any, an equal part.
func (b *bucket) ownShare(now moment, c contact) float64 {
	return (b.own.count(now) + 1/float64(max(1, c.heard))) / (b.recent.count(now) + 1)
}
