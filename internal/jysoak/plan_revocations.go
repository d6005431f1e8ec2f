package jysoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Keys are taken away at random intervals of meanRevocationInterval on average. With a chance of pauseChance each, one instance is
	// paused around it, or all instances are cut off from the store, for longer than the revocation bound and up to maxBeyondBound more.
	meanRevocationInterval = 1500 * time.Millisecond
	pauseChance            = 0.2
	cutChance              = 0.25
	maxBeforeRevocation    = 500 * time.Millisecond
	maxBeyondBound         = 4 * time.Second
)

// addRevocations returns the plan with KeyRemoved steps, and long Pause and StoreCut steps around some of them.
func addRevocations(plan []Step, seed uint64, duration time.Duration, instances int) []Step {
	random := rand.New(rand.NewPCG(seed, 29))
	out := slices.Clone(plan)
	add := func(s Step) {
		if s.End() <= duration {
			out = append(out, s)
		}
	}
	for at := time.Duration(0); at <= duration; {
		at += time.Duration(random.ExpFloat64() * float64(meanRevocationInterval))
		fault := Step{
			At:       max(0, at-time.Duration(random.Float64()*float64(maxBeforeRevocation))),
			Duration: revocationBound + maxBeforeRevocation + time.Duration(random.Float64()*float64(maxBeyondBound)),
		}
		add(Step{At: at, Kind: KeyRemoved})
		which := random.Float64()
		if which < pauseChance {
			fault.Kind, fault.Target = Pause, random.IntN(instances)
			add(fault)
		}
		for i := range instances {
			if which >= pauseChance && which < pauseChance+cutChance {
				fault.Kind, fault.Target = StoreCut, i
				add(fault)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}
