package jyexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jyquantile"
)

// DetectionCase is a workload with one gray server.
type DetectionCase struct {
	Name        string
	Instances   int
	DataCentres int
	Servers     int
	Slots       int // of each server
	Floor       int // number of slots that the other healthy servers must have for a server to be ejected
	// Rate is the number of requests per second to the service over all instances.
	Rate float64
	// HealthyFailureRate is the share of requests, from 0 to 1, that fail at a healthy server.
	HealthyFailureRate float64
	// GrayFailureRate is the share that fails at the gray server while its fault is active. A rate below HealthyFailureRate has
	// no effect.
	GrayFailureRate float64
	// SlowFactor multiplies the latency of the gray server while its fault is active. A factor below 1 counts as 1.
	SlowFactor float64
	// FlapHalfPeriod makes the fault alternate: active for this time, then inactive for this time. 0 keeps it active.
	FlapHalfPeriod time.Duration
	// ServerDaysPerFalseEjection is the detector's allowed rate of false ejections: one in this many server-days.
	ServerDaysPerFalseEjection float64
}

// DetectionResult is the result of two runs of a case: one with the detector and one with the baseline. In the baseline, each
// instance ejects a server independently after five consecutive errors.
type DetectionResult struct {
	Detected      bool          // whether the detector ejected the gray server; if not, the next two fields are 0
	DetectionTime time.Duration // from the start of the fault to the ejection by the detector
	Observations  int           // requests to the gray server in that time
	// BaselineDetected reports whether all instances ejected the gray server in the baseline.
	BaselineDetected bool
	// BaselineMeanTime is the mean over instances of the time from the start of the fault to the instance's ejection of the gray
	// server in the baseline. An instance that did not eject it counts with the limit of the run.
	BaselineMeanTime time.Duration
	FalseEjections   int // ejections of healthy servers, and of the gray one before its fault
}

const (
	// fineTick is the time step of detection runs, and the minimum time between an instance's urgent reports. Runs of the
	// baseline and of false ejections use coarseTick.
	fineTick               = 20 * time.Millisecond
	coarseTick             = 100 * time.Millisecond
	periodicReportInterval = time.Second
	baselineErrorLimit     = 5   // consecutive errors
	latencySigma           = 0.3 // standard deviation of the logarithm of latencies and service times
	medianLatency          = 30 * time.Millisecond
	// An answer is slow if it takes longer than slowThresholdFactor times the 80th percentile of the latencies that the instance
	// measured. No answer counts as slow before minLatencySamples.
	slowThresholdFactor = 1.6
	minLatencySamples   = 100
	warmUp              = 30 * time.Second
	grayServerIndex     = 0
)

// detectionSim is a run in virtual time of instances that report to one detector.
type detectionSim struct {
	config          DetectionCase
	random          *rand.Rand
	now             time.Time
	tick            time.Duration
	detector        *jydetector.Detector
	serverNames     []jydetector.ServerName
	usable          []int // indexes of the servers that get requests
	reporters       []*simReporter
	hasFaultStarted bool
	faultStart      time.Time
	grayRequests    int // requests to the gray server since its fault started
}

// simReporter is an instance that sends requests and reports their outcomes to the detector.
type simReporter struct {
	name              jydetector.ReporterName
	group             jydetector.GroupName
	counts            []jydetector.Counts   // by server, since the start of the run
	lastSent          []jydetector.Counts   // by server, as in the last report
	latency           *jyquantile.Estimator // 80th percentile of the answers of all servers
	consecutiveErrors []int                 // by server
	baselineEjections []time.Duration       // by server: time from fault start to ejection in the baseline, or 0
	hasUrgentReport   bool                  // a request failed since the last report
}

// newDetectionSim returns a simulation before its first step, with all servers healthy.
func newDetectionSim(c DetectionCase, seed uint64, tick time.Duration) *detectionSim {
	s := &detectionSim{
		config: c, tick: tick, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0).Add(time.Hour),
		detector: jydetector.New(jydetector.Config{ServerDaysPerFalseEjection: c.ServerDaysPerFalseEjection, FloorSlots: c.Floor}),
	}
	var servers []jydetector.Server
	for i := range c.Servers {
		s.serverNames = append(s.serverNames, jydetector.ServerName(fmt.Sprintf("server-%02d", i)))
		servers = append(servers, jydetector.Server{Name: s.serverNames[i], Slots: c.Slots})
	}
	s.detector.SetServers(s.now, servers)
	s.updateUsable()
	for i := range c.Instances {
		s.reporters = append(s.reporters, &simReporter{
			name: jydetector.ReporterName(fmt.Sprintf("entry-%02d", i)), group: jydetector.GroupName(fmt.Sprintf("dc-%d", i%max(1, c.DataCentres))),
			counts: make([]jydetector.Counts, c.Servers), lastSent: make([]jydetector.Counts, c.Servers),
			latency:           jyquantile.New(0.8, medianLatency),
			consecutiveErrors: make([]int, c.Servers),
			baselineEjections: make([]time.Duration, c.Servers),
		})
	}
	return s
}

// step advances by one tick, in which all instances send requests and those whose report is due send it. Periodic reports are
// due at staggered times. It returns the changes of the servers' phases.
func (s *detectionSim) step(tickIndex int) []jydetector.Change {
	s.now = s.now.Add(s.tick)
	ticksPerReport := int(periodicReportInterval / s.tick)
	var changes []jydetector.Change
	for i, r := range s.reporters {
		for range s.poisson(s.config.Rate / float64(s.config.Instances) * s.tick.Seconds()) {
			s.sendRequest(r, s.usable[s.random.IntN(len(s.usable))])
		}
		if r.hasUrgentReport || (tickIndex+i)%ticksPerReport == 0 {
			changes = append(changes, s.sendReport(r)...)
		}
	}
	if len(changes) > 0 {
		s.updateUsable()
	}
	return changes
}

// updateUsable recomputes which servers get requests: those that are neither ejected nor in probation.
func (s *detectionSim) updateUsable() {
	unavailable := map[jydetector.ServerName]bool{}
	for _, v := range s.detector.Verdicts() {
		unavailable[v.Server] = v.Phase == jydetector.Ejected || v.Phase == jydetector.Probation
	}
	s.usable = s.usable[:0]
	for i, name := range s.serverNames {
		if !unavailable[name] {
			s.usable = append(s.usable, i)
		}
	}
}

// poisson draws a number from the Poisson distribution by Knuth's method.
func (s *detectionSim) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, s.random.Float64()
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

func (s *detectionSim) isFaultActive() bool {
	if !s.hasFaultStarted {
		return false
	}
	return s.config.FlapHalfPeriod == 0 || (s.now.Sub(s.faultStart)/s.config.FlapHalfPeriod)%2 == 0
}

// sendRequest simulates a request of an instance and counts its outcome.
func (s *detectionSim) sendRequest(r *simReporter, server int) {
	failureRate, latencyFactor := s.config.HealthyFailureRate, 1.0
	if server == grayServerIndex && s.hasFaultStarted {
		s.grayRequests++
	}
	if server == grayServerIndex && s.isFaultActive() {
		failureRate, latencyFactor = max(failureRate, s.config.GrayFailureRate), max(1, s.config.SlowFactor)
	}
	counts := &r.counts[server]
	counts.Attempts++
	if s.random.Float64() < failureRate {
		counts.Failures++
		r.hasUrgentReport = true
		r.consecutiveErrors[server]++
		if r.consecutiveErrors[server] == baselineErrorLimit && s.hasFaultStarted && r.baselineEjections[server] == 0 {
			r.baselineEjections[server] = s.now.Sub(s.faultStart)
		}
		return
	}
	r.consecutiveErrors[server] = 0
	latency := time.Duration(float64(medianLatency) * latencyFactor * math.Exp(latencySigma*s.random.NormFloat64()))
	if r.latency.Count() >= minLatencySamples && float64(latency) > slowThresholdFactor*float64(r.latency.Value()) {
		counts.Slow++
	}
	r.latency.Add(latency)
}

// sendReport reports the counts that changed since the instance's last report, and returns the changes of the servers' phases.
func (s *detectionSim) sendReport(r *simReporter) []jydetector.Change {
	r.hasUrgentReport = false
	report := jydetector.Report{Reporter: r.name, Group: r.group, Boot: 1}
	for i, counts := range r.counts {
		if counts != r.lastSent[i] {
			report.Totals = append(report.Totals, jydetector.Totals{Server: s.serverNames[i], Base: r.lastSent[i], Now: counts})
			r.lastSent[i] = counts
		}
	}
	return s.detector.Observe(s.now, report)
}

// SimulateDetection runs the case with a fault that starts after a warm-up. The run ends when the detector ejects the gray server,
// or at limit of virtual time after the start of the fault. It also runs the baseline, without a warm-up.
func SimulateDetection(c DetectionCase, seed uint64, limit time.Duration) DetectionResult {
	s := newDetectionSim(c, seed, fineTick)
	var out DetectionResult
	for n := range int(warmUp / s.tick) {
		out.FalseEjections += countEjections(s.step(n), "")
	}
	s.hasFaultStarted, s.faultStart = true, s.now
	for n := range int(limit / s.tick) {
		for _, v := range s.step(n) {
			if v.To != jydetector.Ejected {
				continue
			}
			if v.Server != s.serverNames[grayServerIndex] {
				out.FalseEjections++
				continue
			}
			out.Detected, out.DetectionTime, out.Observations = true, s.now.Sub(s.faultStart), s.grayRequests
		}
		if out.Detected {
			break
		}
	}
	out.BaselineDetected, out.BaselineMeanTime = simulateBaseline(c, seed, limit)
	return out
}

// countEjections returns the number of ejections of servers other than except.
func countEjections(changes []jydetector.Change, except jydetector.ServerName) int {
	n := 0
	for _, v := range changes {
		if v.To == jydetector.Ejected && v.Server != except {
			n++
		}
	}
	return n
}

// simulateBaseline runs the case with the detector disabled by a floor of all slots. An instance that has seen
// baselineErrorLimit consecutive errors of the gray server counts as having ejected it, but goes on sending requests to it. It
// returns whether all instances ejected it within limit, and the mean time as in baselineEjectionTime.
func simulateBaseline(c DetectionCase, seed uint64, limit time.Duration) (bool, time.Duration) {
	c.ServerDaysPerFalseEjection = math.MaxFloat64
	c.Floor = c.Servers * c.Slots
	s := newDetectionSim(c, seed, coarseTick)
	s.hasFaultStarted, s.faultStart = true, s.now
	for n := range int(limit / s.tick) {
		s.step(n)
		if allEjected, mean := s.baselineEjectionTime(limit); allEjected {
			return true, mean
		}
	}
	_, mean := s.baselineEjectionTime(limit)
	return false, mean
}

// baselineEjectionTime returns whether all instances have ejected the gray server in the baseline, and the mean of their times
// from the start of the fault. An instance that has not ejected it counts with limit.
func (s *detectionSim) baselineEjectionTime(limit time.Duration) (bool, time.Duration) {
	allEjected, total := true, time.Duration(0)
	for _, r := range s.reporters {
		ejectedAfter := r.baselineEjections[grayServerIndex]
		if ejectedAfter == 0 {
			allEjected, ejectedAfter = false, limit
		}
		total += ejectedAfter
	}
	return allEjected, total / time.Duration(len(s.reporters))
}

// CountFalseEjections runs the case without its fault for the given number of server-days of virtual time, and returns the number
// of ejections.
func CountFalseEjections(c DetectionCase, seed uint64, serverDays float64) int {
	s := newDetectionSim(c, seed, coarseTick)
	ticks := int(serverDays * 24 * float64(time.Hour/coarseTick) / float64(c.Servers))
	total := 0
	for i := range ticks {
		total += countEjections(s.step(i), "")
	}
	return total
}

// LordenBound returns Lorden's asymptotic lower bound on the mean number of observations until a change of the failure rate
// from p0 to p1 is detected, given the mean number of observations between false alarms. p0 must be above 0
// and below 1.
func LordenBound(p0, p1, observationsPerFalseAlarm float64) float64 {
	divergence := 0.0
	if p1 > 0 {
		divergence += p1 * math.Log(p1/p0)
	}
	if p1 < 1 {
		divergence += (1 - p1) * math.Log((1-p1)/(1-p0))
	}
	return math.Log(observationsPerFalseAlarm) / divergence
}
