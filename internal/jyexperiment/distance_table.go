package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// DistanceOptions sets the size of the table of distance policies.
type DistanceOptions struct {
	Seeds       int           // number of runs of each case
	RunDuration time.Duration // virtual time of each run
}

// DistanceLoad is a case without a policy, with its name in the table.
type DistanceLoad struct {
	Name string
	DistanceCase
}

// Names of loads that tests refer to.
const (
	DistanceLoadRoom     = "room everywhere"
	DistanceLoadShort    = "one short"
	DistanceLoadWaves    = "waves"
	DistanceLoadAllShort = "all short"
)

// DistanceLoads returns the loads for runs of duration t, with three data centres each.
func DistanceLoads(t time.Duration) []DistanceLoad {
	base := func(first, second, third float64) DistanceCase {
		return DistanceCase{
			Centres: []DistanceCentre{{15, first, 0.1}, {18, second, 0.18}, {15, third, 0.26}},
			Slots:   4, QueueLength: 8, MeanServiceTime: 200 * time.Millisecond, Objective: 800 * time.Millisecond, RunDuration: t,
			RoundTrip: 3 * time.Millisecond, RequestBytes: 20_000, TransferPrice: 500,
		}
	}
	waves := base(0.72, 0.72, 0.72)
	waves.WaveAmplitude, waves.WavePeriod = 0.55, 15*time.Second
	apart := waves
	apart.Centres = []DistanceCentre{{15, 0.72, 0}, {18, 0.72, 1.0 / 3}, {15, 0.72, 2.0 / 3}}
	halved := base(0.65, 0.6, 0.6)
	halved.FaultFrom, halved.FaultUntil, halved.WorkingShare = t/3, 2*t/3, 0.5
	lost := base(0.5, 0.5, 0.5)
	lost.FaultFrom, lost.FaultUntil = t/3, 2*t/3
	silent := base(1.15, 0.55, 0.6)
	silent.SilentFrom, silent.SilentUntil = t/3, 2*t/3
	return []DistanceLoad{
		{DistanceLoadRoom, base(0.8, 0.78, 0.8)}, {DistanceLoadShort, base(1.15, 0.55, 0.6)}, {DistanceLoadWaves, waves}, {"waves apart", apart},
		{"one halved", halved}, {"own lost", lost}, {DistanceLoadAllShort, base(1.1, 1.1, 1.1)}, {"one short, views old", silent},
	}
}

// WriteDistanceTable writes the mean results of each policy under each load, and the highest number of turns.
func WriteDistanceTable(w io.Writer, o DistanceOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Load\tPolicy\tIn objective\tp99\tElsewhere\tMB elsewhere\tWith room\tTurns\t")
	for _, load := range DistanceLoads(o.RunDuration) {
		for _, p := range DistancePolicies {
			r := MeanDistance(load.DistanceCase, p, o.Seeds)
			fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%d ms\t%.2f%%\t%.1f\t%.2f\t%d\t\n",
				load.Name, p, 100*r.InObjective, r.P99.Milliseconds(), 100*r.Elsewhere, r.Bytes/1e6, r.BytesWithRoom/1e6, r.DirectionTurns)
		}
	}
	return t.Flush()
}

// MeanDistance returns the mean results of the policy over the seeds, and the highest number of turns.
func MeanDistance(c DistanceCase, p DistancePolicy, seeds int) DistanceResult {
	c.Policy = p
	var mean DistanceResult
	n := float64(seeds)
	for _, r := range runSeeds(seeds, func(seed uint64) DistanceResult { return SimulateDistance(c, seed) }) {
		mean.InObjective += r.InObjective / n
		mean.P99 += r.P99 / time.Duration(seeds)
		mean.Elsewhere += r.Elsewhere / n
		mean.Bytes += r.Bytes / n
		mean.BytesWithRoom += r.BytesWithRoom / n
		mean.DirectionTurns = max(mean.DirectionTurns, r.DirectionTurns)
	}
	return mean
}
