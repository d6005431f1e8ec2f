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

// DetectionOptions sets the size of the table of detection times.
type DetectionOptions struct {
	Seeds      int           // number of runs of each case
	Limit      time.Duration // virtual time from the start of a fault after which the fault counts as not detected
	ServerDays float64       // healthy server-days in which false ejections are counted; 0 for none
}

// The allowed rates of false ejections of the two reference workloads, in server-days per false ejection.
const (
	BandhausServerDaysPerFalseEjection = 50
	MalabarServerDaysPerFalseEjection  = 2000
)

// fault is a fault of the gray server. Its fields are those of DetectionCase; a field that is 0 has no effect.
type fault struct {
	name           string
	failureRate    float64
	slowFactor     float64
	flapHalfPeriod time.Duration
}

var faults = []fault{
	{name: "fails 100%", failureRate: 1},
	{name: "fails 50%", failureRate: 0.5},
	{name: "fails 20%", failureRate: 0.2},
	{name: "fails 5%", failureRate: 0.05},
	{name: "10x slow", slowFactor: 10},
	{name: "2x slow", slowFactor: 2},
	{name: "flaps 1 s, 50%", failureRate: 0.5, flapHalfPeriod: time.Second},
}

// workload is a reference workload, with the sizes that its users specified. Its fields are those of DetectionCase.
type workload struct {
	name                       string
	dataCentres                int
	servers                    int
	slots                      int
	floor                      int
	rate                       float64
	serverDaysPerFalseEjection float64
}

var workloads = []workload{
	{
		name: "Bandhaus", dataCentres: 3, servers: 15, slots: 4, floor: 40, rate: 75,
		serverDaysPerFalseEjection: BandhausServerDaysPerFalseEjection,
	},
	{
		name: "Malabar", dataCentres: 4, servers: 14, slots: 2, floor: 20, rate: 70,
		serverDaysPerFalseEjection: MalabarServerDaysPerFalseEjection,
	},
}

// healthyFailureRate is the share of requests, from 0 to 1, that fail at a healthy server.
const healthyFailureRate = 0.001

func (w workload) detectionCase(instances int, f fault) DetectionCase {
	return DetectionCase{
		Name: f.name, Instances: instances, DataCentres: min(instances, w.dataCentres),
		Servers: w.servers, Slots: w.slots, Floor: w.floor, Rate: w.rate,
		HealthyFailureRate: healthyFailureRate, GrayFailureRate: f.failureRate, SlowFactor: f.slowFactor, FlapHalfPeriod: f.flapHalfPeriod,
		ServerDaysPerFalseEjection: w.serverDaysPerFalseEjection,
	}
}

// WriteDetectionTable writes the detection times of all faults in the reference workloads, with those of the baseline and
// Lorden's bound, and the number of false ejections within the given healthy server-days. A fault that is not detected counts
// with the limit. The bound is left out for faults that slow the server down or flap.
func WriteDetectionTable(w io.Writer, o DetectionOptions) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "User\tInstances\tFault\tFound\tMean\tp99\tObservations\tBound\tRatio\tBaselineFound\tBaselineMean\tFalse\t")
	for _, load := range workloads {
		for _, instances := range []int{1, 3, 15} {
			for _, f := range faults {
				writeDetectionRow(t, load, load.detectionCase(instances, f), o)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if o.ServerDays == 0 {
		return nil
	}
	for _, load := range workloads {
		c := load.detectionCase(15, fault{})
		total := sum(runSeeds(runtime.NumCPU(), func(seed uint64) int {
			return CountFalseEjections(c, seed, o.ServerDays/float64(runtime.NumCPU()))
		}))
		fmt.Fprintf(w, "%s: %d false ejections in %.0f server-days\n", load.name, total, o.ServerDays)
	}
	return nil
}

// writeDetectionRow runs a case with all seeds and writes its row.
func writeDetectionRow(w io.Writer, load workload, c DetectionCase, o DetectionOptions) {
	results := runSeeds(o.Seeds, func(seed uint64) DetectionResult { return SimulateDetection(c, seed, o.Limit) })
	var times []time.Duration
	var baselineTotal time.Duration
	detected, baselineDetected, observations, falseEjections := 0, 0, 0, 0
	for _, r := range results {
		if r.Detected {
			detected++
			observations += r.Observations
		} else {
			r.DetectionTime = o.Limit
		}
		times = append(times, r.DetectionTime)
		baselineTotal += r.BaselineMeanTime
		falseEjections += r.FalseEjections
		if r.BaselineDetected {
			baselineDetected++
		}
	}
	slices.Sort(times)
	bound, ratio := "", ""
	meanObservations := float64(observations) / max(1, float64(detected))
	if c.GrayFailureRate > 0 && c.FlapHalfPeriod == 0 {
		requestsPerServerDay := c.Rate / float64(c.Servers) * (24 * time.Hour).Seconds()
		lordenBound := LordenBound(detectorMinFailureRate, c.GrayFailureRate, load.serverDaysPerFalseEjection*requestsPerServerDay)
		bound, ratio = fmt.Sprintf("%.1f", lordenBound), fmt.Sprintf("%.2f", meanObservations/lordenBound)
	}
	fmt.Fprintf(w, "%s\t%d\t%s\t%d/%d\t%.2fs\t%.2fs\t%.1f\t%s\t%s\t%d/%d\t%.2fs\t%d\t\n",
		load.name, c.Instances, c.Name, detected, o.Seeds, meanDuration(times).Seconds(), times[len(times)*99/100].Seconds(),
		meanObservations, bound, ratio, baselineDetected, o.Seeds, (baselineTotal / time.Duration(o.Seeds)).Seconds(), falseEjections)
}

// detectorMinFailureRate is the lowest failure rate that the detector assumes for healthy servers (minReferenceShare of
// failures in pkg/jydetector). Lorden's bound is computed for the same rate, to be comparable.
const detectorMinFailureRate = 0.005

func meanDuration(list []time.Duration) time.Duration {
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

// runSeeds runs f for the seeds 1 to seeds on all processors, and returns the results in the order of the seeds.
func runSeeds[T any](seeds int, f func(seed uint64) T) []T {
	out := make([]T, seeds)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, runtime.NumCPU())
	for i := range seeds {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			out[i] = f(uint64(i + 1))
		})
	}
	wg.Wait()
	return out
}
