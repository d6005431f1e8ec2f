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
)

// latency tracks how long a service's answers take, whichever backend server gives them.
type latency struct {
	mu     sync.Mutex
	middle *jyquantile.Estimator
	high   *jyquantile.Estimator
	tail   *jyquantile.Estimator
}

func newLatency() *latency {
	return &latency{middle: jyquantile.New(0.5, firstEstimate), high: jyquantile.New(0.8, firstEstimate), tail: jyquantile.New(0.99, firstEstimate)}
}

// add takes an answer's latency and reports whether it was slow for the service.
func (l *latency) add(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slow := l.high.Count() >= slowAfter && float64(d) > slowFactor*float64(l.high.Value())
	l.middle.Add(d)
	l.high.Add(d)
	l.tail.Add(d)
	return slow
}

// middleValue returns the median.
func (l *latency) middleValue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.middle.Value()
}

// tailValue returns the 99th percentile.
func (l *latency) tailValue() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tail.Value()
}
