package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// SlotOptions sets the size of the table of slot policies.
type SlotOptions struct {
	Seeds       int // number of runs of each case
	Instances   int
	RunDuration time.Duration // virtual time of each run
}

// slotLoads are the values of SlotCase.Load in the table.
var slotLoads = []float64{0.7, 0.9, 1.1, 2}

// WriteSlotTable writes the mean results of each policy under each load, for servers with 2 and 4 slots. The recovery time is the
// longest of separate runs with twice the load in their first half.
func WriteSlotTable(w io.Writer, o SlotOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Slots\tLoad\tPolicy\tGoodput\tp99\tSheds\tAttempts\tWorst instance\tRecovery\t")
	for _, slots := range []int{2, 4} {
		for _, load := range slotLoads {
			for _, policy := range SlotPolicies {
				writeSlotRow(t, o, SlotCase{
					Instances: o.Instances, Servers: 8, Slots: slots, QueueLength: slots, Load: load, MeanServiceTime: 20 * time.Millisecond,
					OneWayDelay: time.Millisecond, Deadline: 500 * time.Millisecond, RunDuration: o.RunDuration, Policy: policy,
				})
			}
		}
	}
	return t.Flush()
}

// writeSlotRow runs a case with all seeds, without and with an overload, and writes its row.
func writeSlotRow(w io.Writer, o SlotOptions, c SlotCase) {
	results := runSeeds(o.Seeds, func(seed uint64) SlotResult { return SimulateSlots(c, seed) })
	c.OverloadUntil = c.RunDuration / 2
	overloaded := runSeeds(o.Seeds, func(seed uint64) SlotResult { return SimulateSlots(c, seed) })
	var sums SlotResult
	for i, r := range results {
		sums.Goodput += r.Goodput
		sums.P99 += r.P99
		sums.ShedsPerRequest += r.ShedsPerRequest
		sums.AttemptsPerRequest += r.AttemptsPerRequest
		sums.Fairness += r.Fairness
		sums.RecoveryTime = max(sums.RecoveryTime, overloaded[i].RecoveryTime)
	}
	n := float64(o.Seeds)
	fmt.Fprintf(w, "%d\t%.0f%%\t%s\t%.3f\t%.0fms\t%.3f\t%.3f\t%.2f\t%.0fs\t\n", c.Slots, 100*c.Load, c.Policy,
		sums.Goodput/n, float64(sums.P99.Milliseconds())/n, sums.ShedsPerRequest/n,
		sums.AttemptsPerRequest/n, sums.Fairness/n, sums.RecoveryTime.Seconds())
}
