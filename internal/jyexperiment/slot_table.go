package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// SlotOptions sets up a table of ways to share slots.
type SlotOptions struct {
	Seeds       int
	Instances   int
	RunDuration time.Duration
}

var slotLoads = []float64{0.7, 0.9, 1.1, 2}

// WriteSlotTable writes goodput, latency, sheds and fairness of each way of sharing slots, for targets of 2 and 4 slots.
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

func writeSlotRow(w io.Writer, o SlotOptions, c SlotCase) {
	results := each(o.Seeds, func(seed uint64) SlotResult { return SimulateSlots(c, seed) })
	c.OverloadUntil = c.RunDuration / 2
	after := each(o.Seeds, func(seed uint64) SlotResult { return SimulateSlots(c, seed) })
	var m SlotResult
	for i, r := range results {
		m.Goodput += r.Goodput
		m.P99 += r.P99
		m.ShedsPerRequest += r.ShedsPerRequest
		m.AttemptsPerRequest += r.AttemptsPerRequest
		m.Fairness += r.Fairness
		m.RecoveryTime = max(m.RecoveryTime, after[i].RecoveryTime)
	}
	n := float64(o.Seeds)
	fmt.Fprintf(w, "%d\t%.0f%%\t%s\t%.3f\t%.0fms\t%.3f\t%.3f\t%.2f\t%.0fs\t\n", c.Slots, 100*c.Load, c.Policy,
		m.Goodput/n, float64(m.P99.Milliseconds())/n, m.ShedsPerRequest/n, m.AttemptsPerRequest/n, m.Fairness/n, m.RecoveryTime.Seconds())
}
