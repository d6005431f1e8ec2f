package jyqueue

import (
	"math"
	"time"
)

const (
	// pressureTime is the time constant over which a Pressure averages.
	pressureTime = time.Second
	// minPressure and minOver are the share and the decayed number of requests without room from which on a service counts as full.
	minPressure = 0.3
	minOver     = 1.5
)

// Pressure tells a service that stays full from one that gets a few requests too many at once: those may queue at any server. The
// zero value has no observations. It is not safe for concurrent use.
type Pressure struct {
	over, all float64 // decayed numbers of requests, as of updatedAt
	updatedAt time.Time
}

// Record records a request, and whether the best server for it had a queue that it may not join.
func (p *Pressure) Record(now time.Time, isOver bool) {
	p.decay(now)
	p.all++
	if isOver {
		p.over++
	}
}

// IsFull reports whether the service stays full.
func (p *Pressure) IsFull(now time.Time) bool {
	p.decay(now)
	return p.over >= minOver && p.over >= minPressure*p.all
}

func (p *Pressure) decay(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); !p.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / pressureTime.Seconds())
		p.over *= factor
		p.all *= factor
	}
	p.updatedAt = now
}
