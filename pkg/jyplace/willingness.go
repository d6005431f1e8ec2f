package jyplace

import (
	"math"
	"time"
)

const (
	// willingnessTime is the time constant with which observations lose weight. An instance of a large fleet sees only a few
	// requests a second for each service.
	willingnessTime = 2 * time.Second
	// willingPrior is the number of accepted requests that are assumed before any observation.
	willingPrior = 2
	// unwillingChance and minUnwillingSheds are the chance of a shed and the decayed number of sheds from which on the servers of a
	// service count as unwilling.
	unwillingChance   = 0.2
	minUnwillingSheds = 1.5
)

// Willingness estimates how likely the servers of a service are to shed a request although they have a free slot. The zero value has
// no observations. It is not safe for concurrent use.
type Willingness struct {
	accepted, shed float64 // decayed numbers of requests, as of updatedAt
	updatedAt      time.Time
}

// RecordShed records that a server shed a request while it had a free slot, as far as known.
func (w *Willingness) RecordShed(now time.Time) {
	w.decay(now)
	w.shed++
}

// RecordAccepted records that a server accepted a request for a free slot.
func (w *Willingness) RecordAccepted(now time.Time) {
	w.decay(now)
	w.accepted++
}

// ShedChance returns the chance, from 0 to 1, that a server of the service sheds a request for which it has a free slot. It is 0
// while the servers count as willing, so that single sheds don't change the choice of servers.
func (w *Willingness) ShedChance(now time.Time) float64 {
	w.decay(now)
	chance := w.shed / (w.shed + w.accepted + willingPrior)
	if w.shed < minUnwillingSheds || chance < unwillingChance {
		return 0
	}
	return chance
}

// IsUnwilling reports whether the servers of the service shed requests although they have free slots.
func (w *Willingness) IsUnwilling(now time.Time) bool { return w.ShedChance(now) > 0 }

func (w *Willingness) decay(now time.Time) {
	if elapsed := now.Sub(w.updatedAt); !w.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / willingnessTime.Seconds())
		w.accepted *= factor
		w.shed *= factor
	}
	w.updatedAt = now
}
