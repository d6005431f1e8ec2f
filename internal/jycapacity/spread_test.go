package jycapacity_test

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// spreadNote simulates how long a note takes from the 12 watchers, two in each of six data centres, to the last instance. An
// instance that has received the note announces it to ten random instances. Each instance also exchanges a heartbeat with a random
// one, once a second on average, which passes the note on in either direction. It reports the slowest and the mean of 20 trials, in
// virtual seconds.
func spreadNote(b *testing.B, instances int) {
	const (
		trials           = 20
		fanOut           = 10
		hopSeconds       = 0.020 // for the announcement, the fetch and the application of the note
		heartbeatSeconds = 1.0
	)
	slowest, sum := 0.0, 0.0
	for trial := range uint64(trials) {
		elapsed := spreadOnce(rand.New(rand.NewPCG(trial, 7)), instances, fanOut, hopSeconds, heartbeatSeconds)
		slowest = max(slowest, elapsed)
		sum += elapsed
	}
	for b.Loop() {
		runtime.KeepAlive(slowest)
	}
	b.ReportMetric(slowest, "s-virtual")
	b.ReportMetric(sum/trials, "s-mean")
}

// spreadOnce runs one trial and returns the time until the last instance has received the note, in virtual seconds.
func spreadOnce(random *rand.Rand, instances, fanOut int, hopSeconds, heartbeatSeconds float64) float64 {
	const never = 1e9
	receivedAt := make([]float64, instances)
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
	for step := 0.0; slices.Max(receivedAt) == never; step += heartbeatSeconds / 50 {
		for len(queue) > 0 && receivedAt[queue[0]] <= step {
			from := queue[0]
			queue = queue[1:]
			for range fanOut {
				deliver(receivedAt[from]+hopSeconds, random.IntN(instances))
			}
		}
		for i := range receivedAt {
			if random.Float64() > 1.0/50 {
				continue
			}
			if peer := random.IntN(instances); receivedAt[i] <= step {
				deliver(step+hopSeconds, peer)
			} else if receivedAt[peer] <= step {
				deliver(step+hopSeconds, i)
			}
		}
	}
	return slices.Max(receivedAt)
}
