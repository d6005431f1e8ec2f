package jyreturn

import (
	"math"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// paceTime is the time constant over which a Pace averages.
const paceTime = time.Second

// Pace measures how many requests an instance ends per second, and spreads the callers that it refuses accordingly. The zero value
// has measured nothing. It is not safe for concurrent use.
type Pace struct {
	ended     float64 // decayed number of ended requests, as of updatedAt
	updatedAt time.Time
	returns   jyquota.Returns
}

// RecordEnd records that a request ended.
func (p *Pace) RecordEnd(now time.Time) {
	p.decay(now)
	p.ended++
}

// After returns after how long a caller that is refused now should come back.
func (p *Pace) After(now time.Time) time.Duration {
	p.decay(now)
	return p.returns.Next(now, jyquota.Rate(p.ended/paceTime.Seconds()))
}

func (p *Pace) decay(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); !p.updatedAt.IsZero() && elapsed > 0 {
		p.ended *= math.Exp(-elapsed.Seconds() / paceTime.Seconds())
	}
	p.updatedAt = now
}
