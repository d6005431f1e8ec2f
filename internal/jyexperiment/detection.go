package jyexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jyquantile"
)

// DetectionCase is one workload with one fault.
type DetectionCase struct {
	Name        string
	Instances   int
	DataCentres int
	Servers     int
	Slots       int
	Floor       int
	// Rate is the service's requests a second over all instances.
	Rate float64
	// HealthyFailureRate is the share of requests that fail at a healthy server.
	HealthyFailureRate float64
	// GrayFailureRate is the share that fails at the gray one, and SlowFactor multiplies its latency.
	GrayFailureRate float64
	SlowFactor      float64
	// FlapHalfPeriod turns the fault on and off with this half period; 0 keeps it on.
	FlapHalfPeriod time.Duration
	// ServerDaysPerFalseEjection is the weight of false ejections.
	ServerDaysPerFalseEjection float64
}

// DetectionResult is what one run of a case found.
type DetectionResult struct {
	Detected      bool
	DetectionTime time.Duration // from the start of the fault to the fleet's ejection
	Observations  int           // requests at the gray server until then
	// BaselineDetected is whether all instances ejected the server by the baseline of five consecutive errors.
	BaselineDetected bool
	// BaselineMeanTime is the mean time over instances until each ejected the server by itself.
	BaselineMeanTime time.Duration
	FalseEjections   int
}

const (
	// fineTick is the time between urgent reports; healthy runs take the coarse one.
	fineTick          = 20 * time.Millisecond
	coarseTick        = 100 * time.Millisecond
	quietInterval     = time.Second
	consecutiveErrors = 5
	latencySpread     = 0.3
	meanLatency       = 30 * time.Millisecond
	slowFactor        = 1.6
	slowAfter         = 100
	warmUp            = 30 * time.Second
	grayServer        = 0
)

// simulation is one run in virtual time.
type simulation struct {
	c         DetectionCase
	random    *rand.Rand
	now       time.Time
	tick      time.Duration
	detector  *jydetector.Detector
	names     []jydetector.ServerName
	usable    []int
	reporters []*simReporter
	gray      bool
	grayFrom  time.Time
	observed  int
}

type simReporter struct {
	name     jydetector.ReporterName
	group    jydetector.GroupName
	counts   []jydetector.Counts
	sent     []jydetector.Counts
	latency  *jyquantile.Estimator
	errors   []int           // consecutive errors by server
	ejected  []time.Duration // when the baseline ejected the server, from the start of the fault
	mustSend bool
}

func newSimulation(c DetectionCase, seed uint64, tick time.Duration) *simulation {
	s := &simulation{
		c: c, tick: tick, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0).Add(time.Hour),
		detector: jydetector.New(jydetector.Config{ServerDaysPerFalseEjection: c.ServerDaysPerFalseEjection, FloorSlots: c.Floor}),
	}
	var list []jydetector.Server
	for i := range c.Servers {
		s.names = append(s.names, jydetector.ServerName(fmt.Sprintf("server-%02d", i)))
		list = append(list, jydetector.Server{Name: s.names[i], Slots: c.Slots})
	}
	s.detector.SetServers(s.now, list)
	s.findUsable()
	for i := range c.Instances {
		s.reporters = append(s.reporters, &simReporter{
			name: jydetector.ReporterName(fmt.Sprintf("entry-%02d", i)), group: jydetector.GroupName(fmt.Sprintf("dc-%d", i%max(1, c.DataCentres))),
			counts: make([]jydetector.Counts, c.Servers), sent: make([]jydetector.Counts, c.Servers),
			latency: jyquantile.New(0.8, meanLatency), errors: make([]int, c.Servers), ejected: make([]time.Duration, c.Servers),
		})
	}
	return s
}

// step advances by one tick and returns the transitions.
func (s *simulation) step(n int) []jydetector.Change {
	s.now = s.now.Add(s.tick)
	quietTicks := int(quietInterval / s.tick)
	var changes []jydetector.Change
	for i, r := range s.reporters {
		for range s.poisson(s.c.Rate / float64(s.c.Instances) * s.tick.Seconds()) {
			s.request(r, s.usable[s.random.IntN(len(s.usable))])
		}
		if r.mustSend || (n+i)%quietTicks == 0 {
			changes = append(changes, s.report(r)...)
		}
	}
	if len(changes) > 0 {
		s.findUsable()
	}
	return changes
}

func (s *simulation) findUsable() {
	away := map[jydetector.ServerName]bool{}
	for _, v := range s.detector.Verdicts() {
		away[v.Server] = v.Phase == jydetector.Ejected || v.Phase == jydetector.Probation
	}
	s.usable = s.usable[:0]
	for i, name := range s.names {
		if !away[name] {
			s.usable = append(s.usable, i)
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, s.random.Float64()
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

func (s *simulation) faultIsOn() bool {
	if !s.gray {
		return false
	}
	return s.c.FlapHalfPeriod == 0 || (s.now.Sub(s.grayFrom)/s.c.FlapHalfPeriod)%2 == 0
}

func (s *simulation) request(r *simReporter, server int) {
	share, factor := s.c.HealthyFailureRate, 1.0
	if server == grayServer && s.gray {
		s.observed++
	}
	if server == grayServer && s.faultIsOn() {
		share, factor = max(share, s.c.GrayFailureRate), max(1, s.c.SlowFactor)
	}
	c := &r.counts[server]
	c.Attempts++
	if s.random.Float64() < share {
		c.Failures++
		r.mustSend = true
		r.errors[server]++
		if r.errors[server] == consecutiveErrors && s.gray && r.ejected[server] == 0 {
			r.ejected[server] = s.now.Sub(s.grayFrom)
		}
		return
	}
	r.errors[server] = 0
	latency := time.Duration(float64(meanLatency) * factor * math.Exp(latencySpread*s.random.NormFloat64()))
	if r.latency.Count() >= slowAfter && float64(latency) > slowFactor*float64(r.latency.Value()) {
		c.Slow++
	}
	r.latency.Add(latency)
}

func (s *simulation) report(r *simReporter) []jydetector.Change {
	r.mustSend = false
	out := jydetector.Report{Reporter: r.name, Group: r.group, Boot: 1}
	for i, c := range r.counts {
		if c != r.sent[i] {
			out.Totals = append(out.Totals, jydetector.Totals{Server: s.names[i], Base: r.sent[i], Now: c})
			r.sent[i] = c
		}
	}
	return s.detector.Observe(s.now, out)
}

// SimulateDetection runs the case with a fault after a warm-up, for at most limit.
func SimulateDetection(c DetectionCase, seed uint64, limit time.Duration) DetectionResult {
	s := newSimulation(c, seed, fineTick)
	var out DetectionResult
	for n := range int(warmUp / s.tick) {
		out.FalseEjections += ejections(s.step(n), "")
	}
	s.gray, s.grayFrom = true, s.now
	for n := range int(limit / s.tick) {
		for _, v := range s.step(n) {
			if v.To != jydetector.Ejected {
				continue
			}
			if v.Server != s.names[grayServer] {
				out.FalseEjections++
				continue
			}
			out.Detected, out.DetectionTime, out.Observations = true, s.now.Sub(s.grayFrom), s.observed
		}
		if out.Detected {
			break
		}
	}
	out.BaselineDetected, out.BaselineMeanTime = baseline(c, seed, limit)
	return out
}

func ejections(changes []jydetector.Change, except jydetector.ServerName) int {
	n := 0
	for _, v := range changes {
		if v.To == jydetector.Ejected && v.Server != except {
			n++
		}
	}
	return n
}

// baseline runs the case with the detector out of play: each instance ejects after consecutive errors of its own.
func baseline(c DetectionCase, seed uint64, limit time.Duration) (bool, time.Duration) {
	c.ServerDaysPerFalseEjection = math.MaxFloat64
	c.Floor = c.Servers * c.Slots
	s := newSimulation(c, seed, coarseTick)
	s.gray, s.grayFrom = true, s.now
	for n := range int(limit / s.tick) {
		s.step(n)
		if found, mean := s.baselineMean(limit); found {
			return true, mean
		}
	}
	_, mean := s.baselineMean(limit)
	return false, mean
}

// baselineMean returns whether all instances ejected the gray server, and the mean time, those that did not counted with the limit.
func (s *simulation) baselineMean(limit time.Duration) (bool, time.Duration) {
	all, sum := true, time.Duration(0)
	for _, r := range s.reporters {
		at := r.ejected[grayServer]
		if at == 0 {
			all, at = false, limit
		}
		sum += at
	}
	return all, sum / time.Duration(len(s.reporters))
}

// CountFalseEjections runs a healthy service and returns the ejections in the given number of server-days.
func CountFalseEjections(c DetectionCase, seed uint64, serverDays float64) int {
	s := newSimulation(c, seed, coarseTick)
	ticks := int(serverDays * 24 * float64(time.Hour/coarseTick) / float64(c.Servers))
	n := 0
	for i := range ticks {
		n += ejections(s.step(i), "")
	}
	return n
}

// LordenBound returns Lorden's bound on the mean number of observations until a fault of share p1 against p0 is found, at the given mean number of observations between false alarms.
func LordenBound(p0, p1, betweenFalseAlarms float64) float64 {
	information := 0.0
	if p1 > 0 {
		information += p1 * math.Log(p1/p0)
	}
	if p1 < 1 {
		information += (1 - p1) * math.Log((1-p1)/(1-p0))
	}
	return math.Log(betweenFalseAlarms) / information
}
