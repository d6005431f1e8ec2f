package jybelief

import (
	"math"
	"time"
)

// Rate is a mean number of events per second.
type Rate float64

// Config holds the parameters of the model of a server that turns gray and recovers.
type Config struct {
	// Onset is the rate at which a healthy server turns gray.
	Onset Rate
	// Recovery is the rate at which a gray server recovers.
	Recovery Rate
	// MinGrayChance is the lowest chance of being gray that an observed outcome leads to: a server may always have just turned gray.
	MinGrayChance float64
	// Healthy and Gray hold the chance of each outcome in that state.
	Healthy Likelihood
	Gray    Likelihood
}

// DefaultConfig returns a model of servers of which three in ten are gray at any moment, for about 8 s at a time.
func DefaultConfig() Config {
	return Config{
		Onset:         0.05,
		Recovery:      0.12,
		MinGrayChance: 0.001,
		Healthy:       Likelihood{Answered: 0.976, FailedEarly: 0.00005, FailedLate: 0.012, Silent: 0.01},
		Gray:          Likelihood{Answered: 0.15, FailedEarly: 0.55, FailedLate: 0.2, Silent: 0.1},
	}
}

// Belief is the estimated chance that a server is gray, as of its last update. The zero value has no observations.
type Belief struct {
	gray      float64
	updatedAt time.Time
	// earlyFailureAt is when the server last failed a request early, and overdueAt when an answer was last overdue.
	earlyFailureAt time.Time
	overdueAt      time.Time
}

// Prior returns the chance, from 0 to 1, that a server without observations is gray.
func (c Config) Prior() float64 { return float64(c.Onset / (c.Onset + c.Recovery)) }

// IsUnobserved reports whether no outcome was ever observed and no chance was ever set.
func (b Belief) IsUnobserved() bool { return b.updatedAt.IsZero() }

// WithGrayChance returns a belief with the chance gray as of now and the recorded failures of b.
func (b Belief) WithGrayChance(now time.Time, gray float64) Belief {
	b.gray, b.updatedAt = gray, now
	return b
}

// Age returns the time since the last update. It has no meaning if IsUnobserved.
func (b Belief) Age(now time.Time) time.Duration { return now.Sub(b.updatedAt) }

// LastFailure returns when a request last failed early or became overdue at the server, or the zero time.
func (b Belief) LastFailure() time.Time {
	if b.overdueAt.After(b.earlyFailureAt) {
		return b.overdueAt
	}
	return b.earlyFailureAt
}

// GrayChance returns the chance, from 0 to 1, that the server is gray now. For an unobserved belief it is the prior.
func (c Config) GrayChance(b Belief, now time.Time) float64 {
	prior := c.Prior()
	if b.updatedAt.IsZero() {
		return prior
	}
	elapsed := max(0, now.Sub(b.updatedAt).Seconds())
	return prior + (b.gray-prior)*math.Exp(-float64(c.Onset+c.Recovery)*elapsed)
}

// FailChance returns the chance, from 0 to 1, that a request sent now fails.
func (c Config) FailChance(b Belief, now time.Time) float64 {
	gray := c.GrayChance(b, now)
	return gray*c.Gray.failChance() + (1-gray)*c.Healthy.failChance()
}

// Observe returns the belief updated with the outcome of a request that was sent at sent and ended at now. It returns b
// unchanged if the outcome is ignored.
func (c Config) Observe(b Belief, sent, now time.Time, o Outcome) Belief {
	if b.IgnoresOutcome(sent, o) {
		return b
	}
	gray := c.GrayChance(b, now)
	joint := gray * c.Gray[o]
	if b.updatedAt.After(now) {
		// Reports of other instances may arrive out of order.
		now = b.updatedAt
	}
	out := Belief{
		gray:      max(c.MinGrayChance, joint/(joint+(1-gray)*c.Healthy[o])),
		updatedAt: now, earlyFailureAt: b.earlyFailureAt, overdueAt: b.overdueAt,
	}
	switch o {
	case FailedEarly:
		out.earlyFailureAt = now
	case Silent:
		out.overdueAt = now
	}
	return out
}

// IgnoresOutcome reports whether the outcome of a request that was sent at sent says nothing about the server now: it is an
// answer, and the server failed another request early after sent. Whether a server works on a request is decided at its start,
// so such an answer doesn't show that the server has recovered.
func (b Belief) IgnoresOutcome(sent time.Time, o Outcome) bool {
	return o == Answered && sent.Before(b.earlyFailureAt)
}
