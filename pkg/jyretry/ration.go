package jyretry

import (
	"math"
	"time"
)

// Rank orders requests that compete for retries: 0 comes first.
type Rank int

const (
	// rankedPriorities is the number of priorities that are told apart; lower ones rank like the last.
	rankedPriorities = 8
	ranks            = 2 * rankedPriorities
	// rationTime is the time constant over which the demand for retries and the income are averaged, and the time for which retries
	// are kept for higher ranks.
	rationTime = time.Second
)

// RankOf returns the rank of a request: by priority first, then those that can still meet their objective.
func RankOf(priority int, meetsObjective bool) Rank {
	rank := Rank(2 * min(max(0, priority), rankedPriorities-1))
	if !meetsObjective {
		rank++
	}
	return rank
}

// Ration keeps scarce retries for the requests of higher rank. While higher ranks need no more than the budget gains, it keeps none.
// The zero value is ready for use. It is not safe for concurrent use.
type Ration struct {
	demand    [ranks]float64 // decayed numbers of retries that were asked for, as of updatedAt
	income    float64        // decayed number of retries that the budget gained
	updatedAt time.Time
}

// Credit records that the budget gained a number of retries, which may be fractional.
func (r *Ration) Credit(now time.Time, retries float64) {
	r.decay(now)
	r.income += retries
}

// Allows records that a request of the rank needs a retry, and reports whether it may take one of those that are available.
func (r *Ration) Allows(now time.Time, rank Rank, available float64) bool {
	r.decay(now)
	kept := -r.income
	for i := range rank {
		kept += r.demand[i]
	}
	r.demand[rank]++
	return available-1 >= max(0, kept)
}

func (r *Ration) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); !r.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / rationTime.Seconds())
		for i := range r.demand {
			r.demand[i] *= factor
		}
		r.income *= factor
	}
	r.updatedAt = now
}
