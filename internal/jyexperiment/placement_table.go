package jyexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// PlacingOptions sets up a table of ways to choose a server.
type PlacingOptions struct {
	Seeds int
	Time  time.Duration
}

// NamedPlacing is a load pattern, named for the table.
type NamedPlacing struct {
	Name string
	PlacingCase
}

// PlacingLoads returns the load patterns: a service of which nothing may be repeated, one of which everything may, a burst, and
// servers that are short of room.
func PlacingLoads(t time.Duration) []NamedPlacing {
	write := PlacingCase{
		Servers: 15, Slots: 4, Queue: 12, Rate: 61, Work: 300 * time.Millisecond, Objective: 1200 * time.Millisecond,
		Time: t, NewsDelay: 8 * time.Millisecond,
	}
	read := write
	read.Servers, read.Rate, read.Work, read.Repeatable = 8, 26, 400*time.Millisecond, 1
	burst := write
	burst.BurstFrom, burst.BurstUntil, burst.BurstFactor = t/3, t/3+t/6, 2.5
	tight := write
	tight.Servers, tight.Slots, tight.Queue, tight.Rate, tight.Work, tight.Objective = 14, 2, 6, 85, 160*time.Millisecond, 600*time.Millisecond
	return []NamedPlacing{{"writes", write}, {"reads", read}, {"writes, burst", burst}, {"writes, little room", tight}}
}

// ManyServers returns the load of one data centre of a large service.
func ManyServers(t time.Duration) NamedPlacing {
	return NamedPlacing{"writes, many servers", PlacingCase{
		Servers: 44, Slots: 2, Queue: 8, Rate: 147, Work: 160 * time.Millisecond, Objective: 600 * time.Millisecond,
		Time: t, NewsDelay: 8 * time.Millisecond,
	}}
}

// WritePlacing writes what becomes of requests under each load with each way of choosing.
func WritePlacing(w io.Writer, o PlacingOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Load\tPlacing\tIn time\tLate\tFailed\tShed\tRepeats\tLeast used\tOf healthy\t")
	for _, load := range append(PlacingLoads(o.Time), ManyServers(o.Time)) {
		for _, p := range Placers {
			r := meanPlacing(load.PlacingCase, p, o.Seeds)
			fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%.2f\t%.2f\t\n", load.Name, p, 100*r.InTime, 100*r.Late, 100*r.Failed, 100*r.Shed, r.Again, r.LeastUsed, r.LeastHealthy)
		}
	}
	return t.Flush()
}

func meanPlacing(c PlacingCase, p Placer, seeds int) PlacingResult {
	c.Placer = p
	m := PlacingResult{LeastUsed: 1, LeastHealthy: 1}
	n := float64(seeds)
	for _, r := range each(seeds, func(seed uint64) PlacingResult { return Place(c, seed) }) {
		m.InTime += r.InTime / n
		m.Late += r.Late / n
		m.Failed += r.Failed / n
		m.Shed += r.Shed / n
		m.Again += r.Again / n
		m.LeastUsed = min(m.LeastUsed, r.LeastUsed)
		m.LeastHealthy = min(m.LeastHealthy, r.LeastHealthy)
	}
	return m
}
