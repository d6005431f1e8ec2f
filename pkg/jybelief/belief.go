package jybelief

import (
	"math"
	"time"
)

// Rate is a number of events a second.
type Rate float64

// Config is the model of a server that turns gray and recovers.
type Config struct {
	// Onset is the rate at which a well server turns gray.
	Onset Rate
	// Recovery is the rate at which a gray server recovers.
	Recovery Rate
	// MinGrayChance is the chance below which no number of answers brings the belief: a server can always have just turned gray.
	MinGrayChance float64
	// Healthy and Gray are the chances of the outcomes in each state.
	Healthy Likelihood
	Gray    Likelihood
}

// DefaultConfig returns a model of servers that turn gray for seconds at a time, three in ten at any moment.
func DefaultConfig() Config {
	return Config{
		Onset:         0.05,
		Recovery:      0.12,
		MinGrayChance: 0.001,
		Healthy:       Likelihood{Answered: 0.976, FailedEarly: 0.00005, FailedLate: 0.012, Silent: 0.01},
		Gray:          Likelihood{Answered: 0.15, FailedEarly: 0.55, FailedLate: 0.2, Silent: 0.1},
	}
}

// Belief is the chance that a server is gray, as of a moment; the zero value knows nothing.
type Belief struct {
	gray float64
	at   time.Time
	// failed is when the server last failed a request early, and silent when one was last overdue there.
	failed time.Time
	silent time.Time
}

// Prior returns the chance that a server of which nothing is known is gray.
func (c Config) Prior() float64 { return float64(c.Onset / (c.Onset + c.Recovery)) }

// IsUnobserved reports whether nothing was ever observed of the server.
func (b Belief) IsUnobserved() bool { return b.at.IsZero() }

// WithGrayChance returns the belief that the server is gray with this chance now, which remembers the failures seen.
func (b Belief) WithGrayChance(now time.Time, gray float64) Belief {
	b.gray, b.at = gray, now
	return b
}

// Age returns how long ago the last outcome was observed.
func (b Belief) Age(now time.Time) time.Duration { return now.Sub(b.at) }

// LastFailure returns when the server last failed a request early or left one overdue, or the zero time.
func (b Belief) LastFailure() time.Time {
	if b.silent.After(b.failed) {
		return b.silent
	}
	return b.failed
}

// GrayChance returns the chance that the server is gray now.
func (c Config) GrayChance(b Belief, now time.Time) float64 {
	prior := c.Prior()
	if b.at.IsZero() {
		return prior
	}
	passed := max(0, now.Sub(b.at).Seconds())
	return prior + (b.gray-prior)*math.Exp(-float64(c.Onset+c.Recovery)*passed)
}

// FailChance returns the chance that a request sent now fails.
func (c Config) FailChance(b Belief, now time.Time) float64 {
	gray := c.GrayChance(b, now)
	return gray*c.Gray.fail() + (1-gray)*c.Healthy.fail()
}

// Observe returns the belief after a request that was sent and ended now. An answer to one that was sent before the server
// failed another tells nothing: whether a server works on a request is settled at its start.
func (c Config) Observe(b Belief, sent, now time.Time, o Outcome) Belief {
	if b.IgnoresOutcome(sent, o) {
		return b
	}
	gray := c.GrayChance(b, now)
	joint := gray * c.Gray[o]
	if b.at.After(now) {
		now = b.at
	}
	out := Belief{gray: max(c.MinGrayChance, joint/(joint+(1-gray)*c.Healthy[o])), at: now, failed: b.failed, silent: b.silent}
	switch o {
	case FailedEarly:
		out.failed = now
	case Silent:
		out.silent = now
	}
	return out
}

// IgnoresOutcome reports whether an answer to a request sent then tells nothing, since the server has failed another.
func (b Belief) IgnoresOutcome(sent time.Time, o Outcome) bool {
	return o == Answered && sent.Before(b.failed)
}
