package jyexperiment

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// DetectionOptions sets up a table of detection times.
type DetectionOptions struct {
	Seeds      int
	Limit      time.Duration
	ServerDays float64 // of healthy time to look for false ejections; 0 for none
}

// Weights of the two first users, in server-days per false ejection.
const (
	BandhausServerDaysPerFalseEjection = 50
	MalabarServerDaysPerFalseEjection  = 2000
)

type fault struct {
	name     string
	failures float64
	slow     float64
	flap     time.Duration
}

var faults = []fault{
	{name: "fails 100%", failures: 1},
	{name: "fails 50%", failures: 0.5},
	{name: "fails 20%", failures: 0.2},
	{name: "fails 5%", failures: 0.05},
	{name: "10x slow", slow: 10},
	{name: "2x slow", slow: 2},
	{name: "flaps 1 s, 50%", failures: 0.5, flap: time.Second},
}

// user is the workload of a first user, as the brief sizes it.
type user struct {
	name    string
	centres int
	servers int
	slots   int
	floor   int
	rate    float64
	weight  float64
}

var users = []user{
	{name: "Bandhaus", centres: 3, servers: 15, slots: 4, floor: 40, rate: 75, weight: BandhausServerDaysPerFalseEjection},
	{name: "Malabar", centres: 4, servers: 14, slots: 2, floor: 20, rate: 70, weight: MalabarServerDaysPerFalseEjection},
}

const healthyFailures = 0.001

func (u user) detectionCase(instances int, f fault) DetectionCase {
	return DetectionCase{
		Name: f.name, Instances: instances, DataCentres: min(instances, u.centres), Servers: u.servers, Slots: u.slots, Floor: u.floor, Rate: u.rate,
		HealthyFailureRate: healthyFailures, GrayFailureRate: f.failures, SlowFactor: f.slow, FlapHalfPeriod: f.flap, ServerDaysPerFalseEjection: u.weight,
	}
}

// WriteDetectionTable writes detection times and false ejections of both users' workloads.
func WriteDetectionTable(w io.Writer, o DetectionOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "User\tInstances\tFault\tFound\tMean\tp99\tObservations\tBound\tRatio\tBaselineFound\tBaselineMean\tFalse\t")
	for _, u := range users {
		for _, instances := range []int{1, 3, 15} {
			for _, f := range faults {
				writeDetectionRow(t, u, u.detectionCase(instances, f), o)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if o.ServerDays == 0 {
		return nil
	}
	for _, u := range users {
		c := u.detectionCase(15, fault{})
		total := sum(each(runtime.NumCPU(), func(seed uint64) int {
			return CountFalseEjections(c, seed, o.ServerDays/float64(runtime.NumCPU()))
		}))
		fmt.Fprintf(w, "%s: %d false ejections in %.0f server-days\n", u.name, total, o.ServerDays)
	}
	return nil
}

func writeDetectionRow(w io.Writer, u user, c DetectionCase, o DetectionOptions) {
	results := each(o.Seeds, func(seed uint64) DetectionResult { return SimulateDetection(c, seed, o.Limit) })
	var after []time.Duration
	var base time.Duration
	found, baseFound, observations, wrong := 0, 0, 0, 0
	for _, r := range results {
		if r.Detected {
			found++
			observations += r.Observations
		} else {
			r.DetectionTime = o.Limit
		}
		after = append(after, r.DetectionTime)
		base += r.BaselineMeanTime
		wrong += r.FalseEjections
		if r.BaselineDetected {
			baseFound++
		}
	}
	slices.Sort(after)
	bound, ratio := "", ""
	mean := float64(observations) / max(1, float64(found))
	if c.GrayFailureRate > 0 && c.FlapHalfPeriod == 0 {
		perDay := c.Rate / float64(c.Servers) * (24 * time.Hour).Seconds()
		b := LordenBound(leastFailures, c.GrayFailureRate, u.weight*perDay)
		bound, ratio = fmt.Sprintf("%.1f", b), fmt.Sprintf("%.2f", mean/b)
	}
	fmt.Fprintf(w, "%s\t%d\t%s\t%d/%d\t%.2fs\t%.2fs\t%.1f\t%s\t%s\t%d/%d\t%.2fs\t%d\t\n",
		u.name, c.Instances, c.Name, found, o.Seeds, meanOf(after).Seconds(), after[len(after)*99/100].Seconds(),
		mean, bound, ratio, baseFound, o.Seeds, (base / time.Duration(o.Seeds)).Seconds(), wrong)
}

// leastFailures is the share of failures that the detector credits healthy servers with; the bound uses it too.
const leastFailures = 0.005

func meanOf(list []time.Duration) time.Duration {
	var total time.Duration
	for _, d := range list {
		total += d
	}
	return total / time.Duration(len(list))
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// each runs f for the seeds from 1 on all processors, and returns the results in the order of the seeds.
func each[T any](seeds int, f func(seed uint64) T) []T {
	out := make([]T, seeds)
	var wg sync.WaitGroup
	places := make(chan struct{}, runtime.NumCPU())
	for i := range seeds {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			out[i] = f(uint64(i + 1))
		})
	}
	wg.Wait()
	return out
}
