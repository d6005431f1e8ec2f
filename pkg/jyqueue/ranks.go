package jyqueue

import (
	"math"
	"time"
)

const (
	// rankTime is the time constant over which Ranks counts requests.
	rankTime = 10 * time.Second
	// minRankShare is the share of the requests from which on a priority is in use.
	minRankShare = 0.05
)

// Ranks counts which priorities the requests of a service have. The zero value has counted nothing. It is not safe for concurrent use.
type Ranks struct {
	counts    map[int]float64 // decayed numbers of requests by priority, as of updatedAt
	total     float64
	updatedAt time.Time
}

// Record counts a request.
func (r *Ranks) Record(now time.Time, priority int) {
	r.decay(now)
	if r.counts == nil {
		r.counts = map[int]float64{}
	}
	r.counts[priority]++
	r.total++
}

// RankOf returns how many higher priorities are in use, and false if no other priority is: then there is nobody to leave room to.
func (r *Ranks) RankOf(now time.Time, priority int) (rank int, competes bool) {
	r.decay(now)
	for other, count := range r.counts {
		if other == priority || count < minRankShare*r.total {
			continue
		}
		competes = true
		if other < priority {
			rank++
		}
	}
	return rank, competes
}

func (r *Ranks) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); !r.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / rankTime.Seconds())
		r.total *= factor
		for priority := range r.counts {
			r.counts[priority] *= factor
		}
	}
	r.updatedAt = now
}
