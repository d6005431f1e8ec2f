package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// PlacementOptions sets the size of the table of placement policies.
type PlacementOptions struct {
	Seeds       int           // number of runs of each case
	RunDuration time.Duration // virtual time of each run
}

// PlacementLoad is a case without a policy, with its name in the table.
type PlacementLoad struct {
	Name string
	PlacementCase
}

// PlacementLoads returns the loads for runs of duration t: requests that may not be retried, requests that may, a burst of the
// first, and servers with few slots and short queues.
func PlacementLoads(t time.Duration) []PlacementLoad {
	writes := PlacementCase{
		Servers: 15, Slots: 4, QueueLength: 12, Rate: 61, MeanServiceTime: 300 * time.Millisecond, Objective: 1200 * time.Millisecond,
		RunDuration: t, ReportDelay: 8 * time.Millisecond,
	}
	reads := writes
	reads.Servers, reads.Rate, reads.MeanServiceTime, reads.RetryableShare = 8, 26, 400*time.Millisecond, 1
	burst := writes
	burst.BurstFrom, burst.BurstUntil, burst.BurstFactor = t/3, t/3+t/6, 2.5
	small := writes
	small.Servers, small.Slots, small.QueueLength, small.Rate, small.MeanServiceTime, small.Objective = 14, 2, 6, 85, 160*time.Millisecond, 600*time.Millisecond
	return []PlacementLoad{{"writes", writes}, {"reads", reads}, {"writes, burst", burst}, {"writes, little room", small}}
}

// ManyServersLoad returns the load of a large service in one data centre, for runs of duration t.
func ManyServersLoad(t time.Duration) PlacementLoad {
	return PlacementLoad{"writes, many servers", PlacementCase{
		Servers: 44, Slots: 2, QueueLength: 8, Rate: 147, MeanServiceTime: 160 * time.Millisecond, Objective: 600 * time.Millisecond,
		RunDuration: t, ReportDelay: 8 * time.Millisecond,
	}}
}

// WritePlacementTable writes the mean results of each policy under each load, and the lowest of the minimum shares.
func WritePlacementTable(w io.Writer, o PlacementOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Load\tPlacing\tIn time\tLate\tFailed\tShed\tRepeats\tLeast used\tOf healthy\t")
	for _, load := range append(PlacementLoads(o.RunDuration), ManyServersLoad(o.RunDuration)) {
		for _, p := range PlacementPolicies {
			r := meanPlacement(load.PlacementCase, p, o.Seeds)
			fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%.2f\t%.2f\t\n",
				load.Name, p, 100*r.InTime, 100*r.Late, 100*r.Failed, 100*r.Shed,
				r.RetriesPerRequest, r.MinUsedShare, r.MinHealthyUsedShare)
		}
	}
	return t.Flush()
}

// meanPlacement returns the mean results over the seeds, and the minimum of the minimum shares.
func meanPlacement(c PlacementCase, p PlacementPolicy, seeds int) PlacementResult {
	c.Policy = p
	mean := PlacementResult{MinUsedShare: 1, MinHealthyUsedShare: 1}
	n := float64(seeds)
	for _, r := range runSeeds(seeds, func(seed uint64) PlacementResult { return SimulatePlacement(c, seed) }) {
		mean.InTime += r.InTime / n
		mean.Late += r.Late / n
		mean.Failed += r.Failed / n
		mean.Shed += r.Shed / n
		mean.RetriesPerRequest += r.RetriesPerRequest / n
		mean.MinUsedShare = min(mean.MinUsedShare, r.MinUsedShare)
		mean.MinHealthyUsedShare = min(mean.MinHealthyUsedShare, r.MinHealthyUsedShare)
	}
	return mean
}
