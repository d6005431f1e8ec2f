package jylease

import "time"

const (
	// Margin is taken off the bound. It covers the drift between the clocks of machines, and the way of a request from the check of
	// the lease to the server.
	Margin = 250 * time.Millisecond
	// EraDelay is how long after a new era was first seen the store's answers prove nothing. The restored store may lack what it
	// acknowledged before; the instances that applied it are heard in this time.
	EraDelay = 2 * time.Second
)

// FirstEra is the era of a store that never came back from a copy.
const FirstEra = 1

// Lease is the authority of one instance to serve requests with keys. It is not safe for concurrent use.
type Lease struct {
	duration time.Duration
	hasProof bool
	provenAt Instant
	era      Era
	// countsFrom is the earliest date of proofs of the era that count.
	countsFrom Instant
}

// Duration returns for how long after its proof a lease is valid. It is negative if the bound is below Margin.
func Duration(bound time.Duration) time.Duration { return bound - Margin }

// New returns a lease without a proof, which is not valid. The bound is the time after the acknowledgement of a configuration in
// which a key that it takes away may still be served.
func New(bound time.Duration) *Lease { return &Lease{duration: Duration(bound)} }

// Renew extends the lease to a proof that is known at the instant now, and reports whether it did. A proof that is older than the
// last one, of an earlier era, or within EraDelay of the first sight of a new era changes nothing.
func (l *Lease) Renew(now Instant, p Proof) bool {
	if p.Era < l.era {
		return false
	}
	if p.Era > l.era {
		l.enter(now, p.Era)
	}
	// No answer can prove anything about the time after its arrival.
	at := min(p.At, now)
	if at < l.countsFrom || l.hasProof && at <= l.provenAt {
		return false
	}
	l.hasProof, l.provenAt = true, at
	return true
}

// enter records an era that was first seen at now. An instance that starts cannot know for how long the store has been in an era after
// the first one.
func (l *Lease) enter(now Instant, era Era) {
	if era > FirstEra || l.hasProof {
		l.countsFrom = now.Add(EraDelay)
	}
	l.era = era
}

// IsValid reports whether requests with keys may be served at now.
func (l *Lease) IsValid(now Instant) bool { return l.Remaining(now) > 0 }

// Remaining returns how long the lease is valid without a further proof, 0 if it is not.
func (l *Lease) Remaining(now Instant) time.Duration {
	age, hasProof := l.Age(now)
	if !hasProof {
		return 0
	}
	return max(0, l.duration-age)
}

// Age returns the time since the last proof, and false if there is none.
func (l *Lease) Age(now Instant) (age time.Duration, hasProof bool) {
	if !l.hasProof {
		return 0, false
	}
	return now.Sub(l.provenAt), true
}
