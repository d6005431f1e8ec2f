package jycapacity_test

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// spreadNote simulates how long a note takes from the 12 watchers to the last node. A node that has received it announces it to
// ten random nodes. On average one heartbeat a second from each node passes it on to nodes that got no announcement. It reports
// the slowest and the mean of 20 trials in virtual seconds.
func spreadNote(b *testing.B, nodes int) {
	const (
		trials          = 20
		fanOut          = 10
		hopSeconds      = 0.020 // announcement, fetch and application of the note
		intervalSeconds = 1.0
	)
	slowest, sum := 0.0, 0.0
	for trial := range uint64(trials) {
		elapsed := spreadOnce(rand.New(rand.NewPCG(trial, 7)), nodes, fanOut, hopSeconds, intervalSeconds)
		slowest = max(slowest, elapsed)
		sum += elapsed
	}
	for b.Loop() {
		runtime.KeepAlive(slowest)
	}
	b.ReportMetric(slowest, "s-virtual")
	b.ReportMetric(sum/trials, "s-mean")
}

// spreadOnce returns when the last node receives the note, in seconds.
func spreadOnce(random *rand.Rand, nodes, fanOut int, hopSeconds, intervalSeconds float64) float64 {
	const never = 1e9
	receivedAt := make([]float64, nodes)
	var queue []int
	for i := range receivedAt {
		receivedAt[i] = never
		if i < 12 {
			receivedAt[i] = 0
			queue = append(queue, i)
		}
	}
	deliver := func(at float64, to int) {
		if receivedAt[to] > at {
			receivedAt[to] = at
			queue = append(queue, to)
		}
	}
	for step := 0.0; slices.Max(receivedAt) == never; step += intervalSeconds / 50 {
		for len(queue) > 0 && receivedAt[queue[0]] <= step {
			from := queue[0]
			queue = queue[1:]
			for range fanOut {
				deliver(receivedAt[from]+hopSeconds, random.IntN(nodes))
			}
		}
		for i := range receivedAt {
			if random.Float64() > 1.0/50 {
				continue
			}
			if peer := random.IntN(nodes); receivedAt[i] <= step {
				deliver(step+hopSeconds, peer)
			} else if receivedAt[peer] <= step {
				deliver(step+hopSeconds, i)
			}
		}
	}
	return slices.Max(receivedAt)
}
