package jyexperiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// placementSim is a run of a PlacementCase in virtual time.
type placementSim struct {
	clock
	config    PlacementCase
	random    *rand.Rand
	model     jybelief.Config // of the beliefs about the servers
	coverage  *jyplace.Coverage
	shedModel jyplace.ShedModel
	servers   []placementServer
	result    PlacementResult // numbers of requests instead of shares, except MinUsedShare and MinHealthyUsedShare
	requests  float64         // that have arrived
}

type placementServer struct {
	isGray        bool
	busySlots     int
	waiting       []*placementRequest
	inFlight      int // requests sent to the server and not yet ended
	belief        jybelief.Belief
	lastUsed      time.Time
	wasUsed       bool        // got a request in this run
	earlyFailures []time.Time // when it failed requests early, that is without serving them
}

type placementRequest struct {
	arrived        time.Duration // virtual time
	isRetryable    bool
	sent           time.Time // when the current attempt was sent
	server         int       // of the current attempt
	inFlightBefore int       // requests in flight at the server when it was sent
	failedServer   int       // server of the failed first attempt, or -1
	isTrial        bool      // the current attempt is a trial request
}

// SimulatePlacement runs the case and returns the outcomes of its requests.
func SimulatePlacement(c PlacementCase, seed uint64) PlacementResult {
	s := &placementSim{
		config: c, random: rand.New(rand.NewPCG(seed, 7)), model: jybelief.DefaultConfig(),
		coverage: jyplace.NewCoverage(jyplace.DefaultCoverage(minUsedShare)), servers: make([]placementServer, c.Servers),
	}
	for i := range s.servers {
		s.startPhases(&s.servers[i])
	}
	s.result.MinUsedShare, s.result.MinHealthyUsedShare = 1, 1
	s.after(0, s.arrive)
	s.after(usageWindow, s.recordUsage)
	s.run()
	n := s.requests
	return PlacementResult{
		InTime: s.result.InTime / n, Late: s.result.Late / n, Failed: s.result.Failed / n, Shed: s.result.Shed / n,
		RetriesPerRequest: s.result.RetriesPerRequest / n,
		MinUsedShare:      s.result.MinUsedShare, MinHealthyUsedShare: s.result.MinHealthyUsedShare,
	}
}

const (
	// minUsedShare is the floor: the share of the servers that must get a request within usageWindow.
	minUsedShare = 0.7
	// usageWindow is the time within which a server must get a request to count as used.
	usageWindow = 2 * time.Second
	// usageSampleInterval is the time between two counts of the used servers.
	usageSampleInterval = 50 * time.Millisecond
)

// recordUsage updates the minimum shares of used servers with the window that ends now.
func (s *placementSim) recordUsage() {
	if s.now >= s.config.RunDuration {
		return
	}
	used, healthy, healthyUsed := 0, 0, 0
	for i := range s.servers {
		v := &s.servers[i]
		isUsed := v.wasUsed && s.wallTime().Sub(v.lastUsed) <= usageWindow
		if isUsed {
			used++
		}
		if !s.isHealthy(i) {
			continue
		}
		healthy++
		if isUsed {
			healthyUsed++
		}
	}
	s.result.MinUsedShare = min(s.result.MinUsedShare, float64(used)/float64(len(s.servers)))
	if healthy > 0 {
		s.result.MinHealthyUsedShare = min(s.result.MinHealthyUsedShare, float64(healthyUsed)/float64(healthy))
	}
	s.after(usageSampleInterval, s.recordUsage)
}

// faultRecoveryTime is the time from the end of a server's fault until the server counts as healthy again.
const faultRecoveryTime = 6 * time.Second

// isHealthy reports whether the server has had no fault for faultRecoveryTime, and failed no request early in the usageWindow
// before the one that ends now.
func (s *placementSim) isHealthy(server int) bool {
	if server < s.config.Fault.Servers && s.config.Fault.isActive(s.now, faultRecoveryTime) {
		return false
	}
	return !s.servers[server].hasFailedEarly(s.wallTime().Add(-usageWindow))
}

// hasFailedEarly reports whether the server failed a request early in the usageWindow that ends at before.
func (v *placementServer) hasFailedEarly(before time.Time) bool {
	for _, t := range v.earlyFailures {
		if !t.After(before) && before.Sub(t) < usageWindow {
			return true
		}
	}
	return false
}

// wallTime returns the virtual time as a time.Time.
func (s *placementSim) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// arrive places a new request and schedules the arrival of the next one.
func (s *placementSim) arrive() {
	if s.now >= s.config.RunDuration {
		return
	}
	rate := s.config.Rate
	if s.now >= s.config.BurstFrom && s.now < s.config.BurstUntil {
		rate *= s.config.BurstFactor
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.requests++
	s.place(&placementRequest{arrived: s.now, isRetryable: s.random.Float64() < s.config.RetryableShare, failedServer: -1})
}

// place chooses a server for the request and sends the request to it. The server fails it early, serves it, queues it or sheds it.
// A shed request is not retried.
func (s *placementSim) place(r *placementRequest) {
	i := s.choose(r)
	v := &s.servers[i]
	r.server, r.inFlightBefore, r.sent = i, v.inFlight, s.wallTime()
	v.inFlight++
	v.lastUsed, v.wasUsed = s.wallTime(), true
	switch {
	case v.isGray && s.random.Float64() < grayFailureRate:
		s.after(grayFailureDelay, func() { s.recordOutcome(r, jybelief.FailedEarly) })
	case v.busySlots < s.config.Slots:
		v.busySlots++
		s.serve(r)
	case len(v.waiting) < s.config.QueueLength:
		v.waiting = append(v.waiting, r)
	default:
		v.inFlight--
		s.shedModel.RecordShed(r.inFlightBefore, s.config.Slots)
		s.result.Shed++
	}
}

// serve serves the request in a slot that the caller has marked as busy.
func (s *placementSim) serve(r *placementRequest) {
	d := time.Duration(float64(s.config.MeanServiceTime) * math.Exp(latencySigma*s.random.NormFloat64()-latencySigma*latencySigma/2))
	s.after(d, func() {
		v := &s.servers[r.server]
		v.busySlots--
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.busySlots++
			s.serve(next)
		}
		if s.random.Float64() < s.lateFailureRateOf(r.server) {
			s.recordOutcome(r, jybelief.FailedLate)
			return
		}
		s.recordOutcome(r, jybelief.Answered)
	})
}

// lateFailureRateOf returns the chance that the server fails a request whose serving ends now.
func (s *placementSim) lateFailureRateOf(server int) float64 {
	if server < s.config.Fault.Servers && s.config.Fault.isActive(s.now, 0) {
		return s.config.Fault.FailureRate
	}
	return lateFailureRate
}

// recordOutcome ends an attempt with an outcome. It retries the request if the attempt failed and the request may be retried. The
// belief about the server is updated with the outcome after ReportDelay.
func (s *placementSim) recordOutcome(r *placementRequest, o jybelief.Outcome) {
	v := &s.servers[r.server]
	v.inFlight--
	if o == jybelief.FailedEarly {
		v.earlyFailures = append(v.earlyFailures, s.wallTime())
	}
	if !v.belief.IgnoresOutcome(r.sent, o) {
		s.after(s.config.ReportDelay, func() { v.belief = s.model.Observe(v.belief, s.wallTime(), s.wallTime(), o) })
	}
	if o == jybelief.Answered {
		s.shedModel.RecordAccepted(r.inFlightBefore, s.config.Slots)
		s.coverage.Observe(s.wallTime(), 1, 0)
		if s.now-r.arrived > s.config.Objective {
			s.result.Late++
			return
		}
		s.result.InTime++
		return
	}
	if r.isRetryable && r.failedServer < 0 {
		s.result.RetriesPerRequest++
		r.failedServer = r.server
		s.place(r)
		return
	}
	if !r.isTrial {
		s.coverage.Observe(s.wallTime(), 0, 1)
	}
	s.result.Failed++
}

// choose returns the index of the server that the policy of the case selects.
func (s *placementSim) choose(r *placementRequest) int {
	if s.config.Policy == PlacementByLoad {
		return s.leastBusy(r)
	}
	now := s.wallTime()
	request := jyplace.Request{
		ServiceTime: s.config.MeanServiceTime, Objective: s.config.Objective,
		IsRetryable: r.isRetryable && r.failedServer < 0,
	}
	isDue := s.dueTrials(now, request.IsRetryable)
	i := jyplace.Choose(len(s.servers), func(i int) jyplace.Candidate {
		v := &s.servers[i]
		c := jyplace.Candidate{
			InFlight: float64(v.inFlight), Slots: s.config.Slots, Slowdown: 1, IsExcluded: i == r.failedServer,
			ShedChance: s.shedModel.ShedChance(float64(v.inFlight), s.config.Slots), FailChance: lateFailureRate,
		}
		if s.config.Policy == PlacementByTrueState {
			if v.isGray {
				c.FailChance = grayFailureRate
			}
			return c
		}
		c.FailChance, c.IdleTime, c.IsUntried = s.model.FailChance(v.belief, now), now.Sub(v.lastUsed), !v.wasUsed
		c.IsDueTrial = isDue[i]
		return c
	}, request, s.random.Float64)
	r.isTrial = isDue[i]
	return i
}

// dueTrials reports for each server whether a trial request to it is due. Only PlacementByExpectedLoss sends trial requests.
func (s *placementSim) dueTrials(now time.Time, isRetryable bool) []bool {
	out := make([]bool, len(s.servers))
	if s.config.Policy != PlacementByExpectedLoss {
		return out
	}
	rule := s.coverage.RuleAt(now)
	var idle []jyplace.IdleServer
	for i, v := range s.servers {
		if !rule.IsIdle(now, v.lastUsed, isRetryable) {
			continue
		}
		idle = append(idle, jyplace.IdleServer{
			Index: i, FailChance: s.model.FailChance(v.belief, now), IsInBackoff: rule.IsInBackoff(now, v.lastUsed, v.belief.LastFailure()),
		})
	}
	for _, x := range rule.DueTrials(idle, []int{len(s.servers)}, 0) {
		out[x.Index] = true
	}
	return out
}

// leastBusy returns the index of the server with the fewest requests in flight, except the server that failed the first attempt.
// Ties go to the first in index order, starting at a random index.
func (s *placementSim) leastBusy(r *placementRequest) int {
	first := s.random.IntN(len(s.servers))
	best := -1
	for k := range s.servers {
		i := (first + k) % len(s.servers)
		if i != r.failedServer && (best < 0 || s.servers[i].inFlight < s.servers[best].inFlight) {
			best = i
		}
	}
	return best
}
