package jydistance

import (
	"math"
	"time"
)

// DecayTime is the time constant of Rate and Level. It is shorter than the second between two statements of a data centre's
// capacity, so that each statement reflects the last one's effect.
const DecayTime = 500 * time.Millisecond

// Rate is the decayed rate of events.
type Rate struct {
	weight float64 // of all events, as of at
	at     time.Time
}

// Add counts n events at now.
func (r *Rate) Add(now time.Time, n int) {
	r.weight = r.weightAt(now) + float64(n)
	if now.After(r.at) {
		r.at = now
	}
}

// PerSecond returns the rate at now.
func (r *Rate) PerSecond(now time.Time) float64 { return r.weightAt(now) / DecayTime.Seconds() }

func (r *Rate) weightAt(now time.Time) float64 { return r.weight * keptAfter(now.Sub(r.at), DecayTime) }

// Level is the decayed mean of a quantity that is sampled now and then.
type Level struct {
	value float64
	at    time.Time // of the last sample, or the zero time
}

// Sample adds a sample at now and returns the mean.
func (l *Level) Sample(now time.Time, x float64) float64 {
	if l.at.IsZero() {
		l.value, l.at = x, now
	}
	l.value = x + (l.value-x)*keptAfter(now.Sub(l.at), DecayTime)
	if now.After(l.at) {
		l.at = now
	}
	return l.value
}

// Value returns the mean as of the last sample.
func (l *Level) Value() float64 { return l.value }

// keptAfter returns the share of a weight that is left after a time.
func keptAfter(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / timeConstant.Seconds())
}
