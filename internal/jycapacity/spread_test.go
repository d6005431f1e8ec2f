package jycapacity_test

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// spread measures, in virtual time, how long a note takes from the watchers to the last of a number of nodes: each that
// has it tells ten others, each of which fetches it, and one heartbeat a second makes up for whom nobody told.
func spread(b *testing.B, nodes int) {
	const (
		trials   = 20
		fanOut   = 10
		hop      = 0.020 // announcement, fetch and coming into force, in seconds
		interval = 1.0
	)
	slowest, sum := 0.0, 0.0
	for trial := range uint64(trials) {
		took := spreadOnce(rand.New(rand.NewPCG(trial, 7)), nodes, fanOut, hop, interval)
		slowest = max(slowest, took)
		sum += took
	}
	for b.Loop() {
		runtime.KeepAlive(slowest)
	}
	b.ReportMetric(slowest, "s-virtual")
	b.ReportMetric(sum/trials, "s-mean")
}

// spreadOnce returns when the last node has the note.
func spreadOnce(random *rand.Rand, nodes, fanOut int, hop, interval float64) float64 {
	const never = 1e9
	has := make([]float64, nodes)
	var queue []int
	for i := range has {
		has[i] = never
		if i < 12 {
			has[i] = 0
			queue = append(queue, i)
		}
	}
	tell := func(at float64, to int) {
		if has[to] > at {
			has[to] = at
			queue = append(queue, to)
		}
	}
	for step := 0.0; slices.Max(has) == never; step += interval / 50 {
		for len(queue) > 0 && has[queue[0]] <= step {
			from := queue[0]
			queue = queue[1:]
			for range fanOut {
				tell(has[from]+hop, random.IntN(nodes))
			}
		}
		for i := range has {
			if random.Float64() > 1.0/50 {
				continue
			}
			if peer := random.IntN(nodes); has[i] <= step {
				tell(step+hop, peer)
			} else if has[peer] <= step {
				tell(step+hop, i)
			}
		}
	}
	return slices.Max(has)
}
