package jyreach

import (
	"slices"
	"time"
)

// Instance is another instance that may reach servers which this one does not.
type Instance[I comparable] struct {
	ID I
	// IsLocal says that it is in the same data centre as this one.
	IsLocal bool
}

// maxLocalInstances is the number of instances of the same data centre that are asked before others: they may all have lost their
// paths together.
const maxLocalInstances = 2

// Instances remembers which instances could not take a request of a service. It is not safe for concurrent use.
type Instances[I comparable] struct {
	unableUntil map[I]time.Time
}

// NewInstances returns a memory that holds no instance.
func NewInstances[I comparable]() *Instances[I] { return &Instances[I]{unableUntil: map[I]time.Time{}} }

// MarkUnable records that an instance cannot take requests until then.
func (m *Instances[I]) MarkUnable(id I, until time.Time) { m.unableUntil[id] = until }

// Choose returns the instances to ask one after the other, at most count: up to two of this data centre, then others. Those that
// cannot take requests now are left out. random returns a number from 0 to n-1.
func (m *Instances[I]) Choose(now time.Time, all []Instance[I], count int, random func(n int) int) []I {
	m.forget(now)
	var local, others []I
	for _, x := range all {
		switch _, isUnable := m.unableUntil[x.ID]; {
		case isUnable:
		case x.IsLocal:
			local = append(local, x.ID)
		default:
			others = append(others, x.ID)
		}
	}
	shuffle(local, random)
	shuffle(others, random)
	first := min(maxLocalInstances, len(local))
	ordered := slices.Concat(local[:first], others, local[first:])
	return ordered[:min(count, len(ordered))]
}

func shuffle[I any](list []I, random func(n int) int) {
	for n := len(list); n > 1; n-- {
		i := random(n)
		list[i], list[n-1] = list[n-1], list[i]
	}
}

// forget drops the instances that may take requests again.
func (m *Instances[I]) forget(now time.Time) {
	for id, until := range m.unableUntil {
		if !now.Before(until) {
			delete(m.unableUntil, id)
		}
	}
}
