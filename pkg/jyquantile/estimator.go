package jyquantile

import "time"

// Bounds of an estimate.
const (
	minEstimate = 50 * time.Microsecond
	maxEstimate = 10 * time.Minute
)

// stepSize is the relative size of a correction: after the warm-up, an estimate needs at least about 230 observations to change
// by a factor of ten.
const stepSize = 0.01

// Estimator tracks one quantile of durations by multiplicative stochastic approximation. It is not safe for concurrent use.
type Estimator struct {
	quantile float64
	estimate float64 // nanoseconds
	count    uint64
}

// New returns an estimator of the quantile, between 0 and 1, whose first estimate is first, but at least 50 µs.
func New(quantile float64, first time.Duration) *Estimator {
	return &Estimator{quantile: quantile, estimate: float64(max(first, minEstimate))}
}

// Add records one observation.
func (e *Estimator) Add(d time.Duration) {
	e.count++
	gain := stepSize
	if e.count < warmUpObservations {
		gain = stepSize * warmUpObservations / float64(e.count)
	}
	if float64(d) > e.estimate {
		e.estimate *= 1 + gain*e.quantile
	} else {
		e.estimate /= 1 + gain*(1-e.quantile)
	}
	e.estimate = min(max(e.estimate, float64(minEstimate)), float64(maxEstimate))
}

// warmUpObservations is the number of observations over which corrections shrink to stepSize.
const warmUpObservations = 20

// Value returns the current estimate of the quantile. From the first observation on, it is between 50 µs and 10 min.
func (e *Estimator) Value() time.Duration { return time.Duration(e.estimate) }

// Count returns the number of observations.
func (e *Estimator) Count() uint64 { return e.count }
