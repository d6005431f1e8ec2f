package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// PlacementOptions sets up a table of ways to choose a server.
type PlacementOptions struct {
	Seeds       int
	RunDuration time.Duration
}

// PlacementLoad is a load pattern, named for the table.
type PlacementLoad struct {
	Name string
	PlacementCase
}

// PlacementLoads returns the load patterns: a service of which nothing may be repeated, one of which everything may, a burst, and
// servers that are short of room.
func PlacementLoads(t time.Duration) []PlacementLoad {
	write := PlacementCase{
		Servers: 15, Slots: 4, QueueLength: 12, Rate: 61, MeanServiceTime: 300 * time.Millisecond, Objective: 1200 * time.Millisecond,
		RunDuration: t, ReportDelay: 8 * time.Millisecond,
	}
	read := write
	read.Servers, read.Rate, read.MeanServiceTime, read.RetryableShare = 8, 26, 400*time.Millisecond, 1
	burst := write
	burst.BurstFrom, burst.BurstUntil, burst.BurstFactor = t/3, t/3+t/6, 2.5
	tight := write
	tight.Servers, tight.Slots, tight.QueueLength, tight.Rate, tight.MeanServiceTime, tight.Objective = 14, 2, 6, 85, 160*time.Millisecond, 600*time.Millisecond
	return []PlacementLoad{{"writes", write}, {"reads", read}, {"writes, burst", burst}, {"writes, little room", tight}}
}

// ManyServersLoad returns the load of one data centre of a large service.
func ManyServersLoad(t time.Duration) PlacementLoad {
	return PlacementLoad{"writes, many servers", PlacementCase{
		Servers: 44, Slots: 2, QueueLength: 8, Rate: 147, MeanServiceTime: 160 * time.Millisecond, Objective: 600 * time.Millisecond,
		RunDuration: t, ReportDelay: 8 * time.Millisecond,
	}}
}

// WritePlacementTable writes what becomes of requests under each load with each way of choosing.
func WritePlacementTable(w io.Writer, o PlacementOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Load\tPlacing\tIn time\tLate\tFailed\tShed\tRepeats\tLeast used\tOf healthy\t")
	for _, load := range append(PlacementLoads(o.RunDuration), ManyServersLoad(o.RunDuration)) {
		for _, p := range PlacementPolicies {
			r := meanPlacing(load.PlacementCase, p, o.Seeds)
			fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%.2f\t%.2f\t\n", load.Name, p, 100*r.InTime, 100*r.Late, 100*r.Failed, 100*r.Shed, r.RetriesPerRequest, r.MinUsedShare, r.MinHealthyUsedShare)
		}
	}
	return t.Flush()
}

func meanPlacing(c PlacementCase, p PlacementPolicy, seeds int) PlacementResult {
	c.Policy = p
	m := PlacementResult{MinUsedShare: 1, MinHealthyUsedShare: 1}
	n := float64(seeds)
	for _, r := range each(seeds, func(seed uint64) PlacementResult { return SimulatePlacement(c, seed) }) {
		m.InTime += r.InTime / n
		m.Late += r.Late / n
		m.Failed += r.Failed / n
		m.Shed += r.Shed / n
		m.RetriesPerRequest += r.RetriesPerRequest / n
		m.MinUsedShare = min(m.MinUsedShare, r.MinUsedShare)
		m.MinHealthyUsedShare = min(m.MinHealthyUsedShare, r.MinHealthyUsedShare)
	}
	return m
}
