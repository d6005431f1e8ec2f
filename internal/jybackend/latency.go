package jybackend

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyquantile"
)

const (
	// initialLatency is the first estimate of the quantile estimators.
	initialLatency = 100 * time.Millisecond
	// slowFactor is the multiple of the service's 80th percentile above which an answer counts as slow.
	slowFactor = 1.6
	// minSlowSamples is the number of answers before the first may count as slow.
	minSlowSamples = 100
	// serviceTimeSamples is the number of answers over which the service time is averaged, and the number that usualLatency
	// needs.
	serviceTimeSamples = 50
)

// latency tracks the latencies of a service's answers from all its backend servers.
type latency struct {
	mu           sync.Mutex
	serviceTime  time.Duration         // mean latency of the answers that did not wait for a slot
	samples      int                   // number of answers in the mean, up to serviceTimeSamples
	immediateP98 *jyquantile.Estimator // 98th percentile of the answers that did not wait for a slot
	p80          *jyquantile.Estimator // percentiles of all answers
	p99          *jyquantile.Estimator
}

func newLatency() *latency {
	return &latency{
		immediateP98: jyquantile.New(0.98, initialLatency),
		p80:          jyquantile.New(0.8, initialLatency),
		p99:          jyquantile.New(0.99, initialLatency),
	}
}

// add records an answer's latency and reports whether it was slow for the service.
func (l *latency) add(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slow := l.p80.Count() >= minSlowSamples && float64(d) > slowFactor*float64(l.p80.Value())
	l.p80.Add(d)
	l.p99.Add(d)
	return slow
}

// addServiceTime records the latency of an answer that did not wait for a slot.
func (l *latency) addServiceTime(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = min(serviceTimeSamples, l.samples+1)
	l.serviceTime += (d - l.serviceTime) / time.Duration(l.samples)
	l.immediateP98.Add(d)
}

// serviceTimeOr returns the mean service time, or fallback if there was no answer yet.
func (l *latency) serviceTimeOr(fallback time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samples == 0 {
		return fallback
	}
	return l.serviceTime
}

// usualLatency returns the 98th percentile of the answers that did not wait for a slot, or 0 before serviceTimeSamples answers.
func (l *latency) usualLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samples < serviceTimeSamples {
		return 0
	}
	return l.immediateP98.Value()
}

// tailLatency returns the 99th percentile of all answers.
func (l *latency) tailLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.p99.Value()
}
