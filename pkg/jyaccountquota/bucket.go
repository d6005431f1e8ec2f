package jyaccountquota

import (
	"container/list"
	"time"
)

// maxDebtTime is the time in seconds in which the largest debt is refilled, so that an account is not locked out for longer. It
// exceeds what instances admit beyond the quota before they learn of each other's admissions.
const maxDebtTime = 2.0

// bucket is the mirrored token bucket of one account, with what this instance did for it.
type bucket struct {
	account Account
	quota   Quota // not limited while only others are known to admit requests
	level   float64
	at      moment // when level was computed
	// The bucket was full from fullSince to fullUntil, so that its refill was lost.
	fullSince, fullUntil moment
	part                 part
	recent, own          decayed // known admissions of all instances, and those of this one
	admittedAt           moment  // the last admission by this instance
	returnAt             moment  // the latest time that a refused caller was given
	pending              int     // own admissions that were not reported yet
	isPending            bool    // in Buckets.pending
	admitted, refused    uint64  // by this instance
	refusal              refusal
	element              *list.Element // in Buckets.byRecency
}

// setQuota changes the quota. The level is kept, up to the new capacity.
func (b *bucket) setQuota(now moment, q Quota) {
	if b.quota == q {
		return
	}
	wasLimited := b.quota.IsLimited()
	b.refill(now)
	b.quota = q
	if !wasLimited && q.IsLimited() {
		// Until now the level only counted admissions, from the creation of the bucket on.
		b.level += q.capacity() + q.PerSecond*now.since(b.at)
		b.at = now
	}
	b.level = min(b.level, q.capacity())
	b.fullSince, b.fullUntil = now, now
	b.limitDebt()
}

// refill adds what was refilled until now.
func (b *bucket) refill(now moment) {
	if !b.quota.IsLimited() || now <= b.at {
		return
	}
	capacity, rate := b.quota.capacity(), b.quota.PerSecond
	fullAt := b.at.add((capacity - b.level) / rate)
	if fullAt > now {
		b.level += rate * now.since(b.at)
		b.at = now
		return
	}
	if fullAt > b.fullUntil {
		b.fullSince = fullAt
	}
	b.level, b.fullUntil, b.at = capacity, now, now
}

// take counts n requests that were admitted age ago. Those that the bucket would have refilled since then, had it known of them,
// do not lower the level.
func (b *bucket) take(now moment, n float64, age time.Duration) {
	b.refill(now)
	b.level -= n - b.refund(now, n, age)
	b.level = min(b.level, b.quota.capacity())
	b.limitDebt()
}

// refund returns how many of n requests were refilled while the bucket was full within the last age. The refill is used up.
func (b *bucket) refund(now moment, n float64, age time.Duration) float64 {
	if n <= 0 || !b.quota.IsLimited() {
		return 0
	}
	from := max(b.fullSince, now-moment(age))
	out := min(n, b.quota.PerSecond*b.fullUntil.since(from))
	if out > 0 {
		b.fullSince = from.add(out / b.quota.PerSecond)
	}
	return out
}

// limitDebt bounds the debt. An account without a known quota has its bound when the quota becomes known.
func (b *bucket) limitDebt() {
	if b.quota.IsLimited() {
		b.level = max(b.level, -maxDebtTime*b.quota.PerSecond)
	}
}

// isIdle reports whether the bucket holds nothing that a new one would not hold.
func (b *bucket) isIdle(now moment) bool {
	if b.pending != 0 {
		return false
	}
	if !b.quota.IsLimited() {
		return now.since(b.at) > unlistedTime
	}
	b.refill(now)
	return b.level >= b.quota.capacity()
}
