package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WaitingOptions sets the size of the table of waiting policies.
type WaitingOptions struct {
	Seeds int // number of runs of each case
}

// WriteWaitingTable writes the mean results of each policy under each load.
func WriteWaitingTable(w io.Writer, o WaitingOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Load\tPolicy\tIn time\tLate\tLost\tLost in trouble\tPriority 0\t1\t2\tOthers lost\tRepeats\tHeld\t")
	for _, load := range WaitingLoads() {
		for _, p := range WaitingPolicies {
			r := MeanWaiting(load.WaitingCase, p, o.Seeds)
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t", load.Name, p, 100*r.InTime, 100*r.Late, 100*r.Lost, 100*r.TroubleLost)
			for _, share := range r.InTimeByPriority {
				fmt.Fprintf(t, "%.1f%%\t", 100*share)
			}
			fmt.Fprintf(t, "%.1f%%\t%.3f\t%s\t\n", 100*r.OthersLost, r.RetriesPerRequest, r.MaxHeld.Round(time.Millisecond))
		}
	}
	return t.Flush()
}

// MeanWaiting returns the mean results of a policy over the seeds, and the longest MaxHeld.
func MeanWaiting(c WaitingCase, p WaitingPolicy, seeds int) WaitingResult {
	c.Policy = p
	mean := WaitingResult{InTimeByPriority: make([]float64, c.Priorities)}
	n := float64(seeds)
	for _, r := range runSeeds(seeds, func(seed uint64) WaitingResult { return SimulateWaiting(c, seed) }) {
		mean.InTime += r.InTime / n
		mean.Late += r.Late / n
		mean.Lost += r.Lost / n
		mean.TroubleLost += r.TroubleLost / n
		mean.OthersLost += r.OthersLost / n
		mean.RetriesPerRequest += r.RetriesPerRequest / n
		mean.MaxHeld = max(mean.MaxHeld, r.MaxHeld)
		for i, share := range r.InTimeByPriority {
			mean.InTimeByPriority[i] += share / n
		}
	}
	return mean
}
