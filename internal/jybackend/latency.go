package jybackend

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyquantile"
)

const (
	firstEstimate = 100 * time.Millisecond
	// slowFactor is how far above the service's 80th percentile an answer counts as slow.
	slowFactor = 1.6
	// slowAfter is the number of answers before any counts as slow.
	slowAfter = 100
	// workMemory is the number of answers over which the time of work is averaged.
	workMemory = 50
)

// latency tracks how long a service's answers take, whichever backend server gives them.
type latency struct {
	mu    sync.Mutex
	work  time.Duration         // mean time of the answers that did not wait for a slot
	works int                   // answers that it is the mean of, up to workMemory
	top   *jyquantile.Estimator // high quantile of the same
	high  *jyquantile.Estimator
	tail  *jyquantile.Estimator
}

func newLatency() *latency {
	return &latency{top: jyquantile.New(0.98, firstEstimate), high: jyquantile.New(0.8, firstEstimate), tail: jyquantile.New(0.99, firstEstimate)}
}

// add takes an answer's latency and reports whether it was slow for the service.
func (l *latency) add(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slow := l.high.Count() >= slowAfter && float64(d) > slowFactor*float64(l.high.Value())
	l.high.Add(d)
	l.tail.Add(d)
	return slow
}

// addWork takes the latency of an answer that did not wait for a slot.
func (l *latency) addWork(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.works = min(workMemory, l.works+1)
	l.work += (d - l.work) / time.Duration(l.works)
	l.top.Add(d)
}

// workValue returns how long the service works on a request, or otherwise where nothing is known.
func (l *latency) workValue(otherwise time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.works == 0 {
		return otherwise
	}
	return l.work
}

// usual returns the time within which nearly all answers come that did not wait for a slot, or 0 if too few have come.
func (l *latency) usual() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.works < workMemory {
		return 0
	}
	return l.top.Value()
}

// tailValue returns the 99th percentile.
func (l *latency) tailValue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tail.Value()
}
