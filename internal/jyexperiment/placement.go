package jyexperiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// placingSim is one run in virtual time.
type placingSim struct {
	clock
	c        PlacementCase
	random   *rand.Rand
	model    jybelief.Config
	coverage *jyplace.Coverage
	room     jyplace.ShedModel
	servers  []placingServer
	out      PlacementResult
	requests float64
}

type placingServer struct {
	isGray   bool
	busy     int
	waiting  []*placingRequest
	inFlight int
	belief   jybelief.Belief
	used     time.Time
	wasUsed  bool
	failed   []time.Time // when it failed requests at once
}

type placingRequest struct {
	arrived      time.Duration
	isRepeatable bool
	sent         time.Time
	server       int
	load         int
	tried        int // the server that failed it before, or -1
	isTrial      bool
}

// SimulatePlacement runs one case.
func SimulatePlacement(c PlacementCase, seed uint64) PlacementResult {
	s := &placingSim{
		c: c, random: rand.New(rand.NewPCG(seed, 7)), model: jybelief.DefaultConfig(),
		coverage: jyplace.NewCoverage(jyplace.DefaultCoverage(leastUsedShare)), servers: make([]placingServer, c.Servers),
	}
	for i := range s.servers {
		s.startServer(&s.servers[i])
	}
	s.out.MinUsedShare, s.out.MinHealthyUsedShare = 1, 1
	s.after(0, s.arrive)
	s.after(usageWindow, s.countUsed)
	s.run()
	n := s.requests
	return PlacementResult{
		InTime: s.out.InTime / n, Late: s.out.Late / n, Failed: s.out.Failed / n, Shed: s.out.Shed / n, RetriesPerRequest: s.out.RetriesPerRequest / n,
		MinUsedShare: s.out.MinUsedShare, MinHealthyUsedShare: s.out.MinHealthyUsedShare,
	}
}

const (
	// leastUsedShare is the share of the servers that must be in use.
	leastUsedShare = 0.7
	// usageWindow is the time within which a server must get a request to count as used.
	usageWindow = 2 * time.Second
	usageStep   = 50 * time.Millisecond
)

// countUsed notes how many servers got a request within the window that ends now.
func (s *placingSim) countUsed() {
	if s.now >= s.c.RunDuration {
		return
	}
	used, healthy, healthyUsed := 0, 0, 0
	for i := range s.servers {
		v := &s.servers[i]
		isUsed := v.wasUsed && s.wall().Sub(v.used) <= usageWindow
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
	s.out.MinUsedShare = min(s.out.MinUsedShare, float64(used)/float64(len(s.servers)))
	if healthy > 0 {
		s.out.MinHealthyUsedShare = min(s.out.MinHealthyUsedShare, float64(healthyUsed)/float64(healthy))
	}
	s.after(usageStep, s.countUsed)
}

// faultMemory is how long after its fault a server is healthy again.
const faultMemory = 6 * time.Second

// isHealthy reports whether the server counts for the floor in the usage window that ends now.
func (s *placingSim) isHealthy(server int) bool {
	if server < s.c.Fault.Servers && s.c.Fault.isActive(s.now, faultMemory) {
		return false
	}
	return !s.servers[server].hasFailed(s.wall().Add(-usageWindow))
}

// hasFailed reports whether the server had failed a request within the usage window before a time.
func (v *placingServer) hasFailed(before time.Time) bool {
	for _, t := range v.failed {
		if !t.After(before) && before.Sub(t) < usageWindow {
			return true
		}
	}
	return false
}

// wall returns the virtual time as a clock shows it.
func (s *placingSim) wall() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *placingSim) arrive() {
	if s.now >= s.c.RunDuration {
		return
	}
	rate := s.c.Rate
	if s.now >= s.c.BurstFrom && s.now < s.c.BurstUntil {
		rate *= s.c.BurstFactor
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.requests++
	s.place(&placingRequest{arrived: s.now, isRepeatable: s.random.Float64() < s.c.RetryableShare, tried: -1})
}

// place sends a request to the server that is chosen for it.
func (s *placingSim) place(r *placingRequest) {
	i := s.choose(r)
	v := &s.servers[i]
	r.server, r.load, r.sent = i, v.inFlight, s.wall()
	v.inFlight++
	v.used, v.wasUsed = s.wall(), true
	switch {
	case v.isGray && s.random.Float64() < grayFailure:
		s.after(grayFailTime, func() { s.end(r, jybelief.FailedEarly) })
	case v.busy < s.c.Slots:
		v.busy++
		s.work(r)
	case len(v.waiting) < s.c.QueueLength:
		v.waiting = append(v.waiting, r)
	default:
		v.inFlight--
		s.room.RecordShed(r.load, s.c.Slots)
		s.out.Shed++
	}
}

func (s *placingSim) work(r *placingRequest) {
	d := time.Duration(float64(s.c.MeanServiceTime) * math.Exp(latencySpread*s.random.NormFloat64()-latencySpread*latencySpread/2))
	s.after(d, func() {
		v := &s.servers[r.server]
		v.busy--
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.busy++
			s.work(next)
		}
		if s.random.Float64() < s.lateFailure(r.server) {
			s.end(r, jybelief.FailedLate)
			return
		}
		s.end(r, jybelief.Answered)
	})
}

// lateFailure returns the chance that the server fails a request that it has worked on.
func (s *placingSim) lateFailure(server int) float64 {
	if server < s.c.Fault.Servers && s.c.Fault.isActive(s.now, 0) {
		return s.c.Fault.FailureRate
	}
	return honestFailure
}

// end takes an outcome, which all instances learn a little later.
func (s *placingSim) end(r *placingRequest, o jybelief.Outcome) {
	v := &s.servers[r.server]
	v.inFlight--
	if o == jybelief.FailedEarly {
		v.failed = append(v.failed, s.wall())
	}
	if !v.belief.IgnoresOutcome(r.sent, o) {
		s.after(s.c.ReportDelay, func() { v.belief = s.model.Observe(v.belief, s.wall(), s.wall(), o) })
	}
	if o == jybelief.Answered {
		s.room.RecordAccepted(r.load, s.c.Slots)
		s.coverage.Observe(s.wall(), 1, 0)
		if s.now-r.arrived > s.c.Objective {
			s.out.Late++
			return
		}
		s.out.InTime++
		return
	}
	if r.isRepeatable && r.tried < 0 {
		s.out.RetriesPerRequest++
		r.tried = r.server
		s.place(r)
		return
	}
	if !r.isTrial {
		s.coverage.Observe(s.wall(), 0, 1)
	}
	s.out.Failed++
}

func (s *placingSim) choose(r *placingRequest) int {
	if s.c.Policy == PlacementByLoad {
		return s.leastBusy(r)
	}
	now := s.wall()
	request := jyplace.Request{ServiceTime: s.c.MeanServiceTime, Objective: s.c.Objective, IsRetryable: r.isRepeatable && r.tried < 0}
	must := s.mustTry(now, request.IsRetryable)
	i := jyplace.Choose(len(s.servers), func(i int) jyplace.Candidate {
		v := &s.servers[i]
		c := jyplace.Candidate{
			InFlight: float64(v.inFlight), Slots: s.c.Slots, Slowdown: 1, IsExcluded: i == r.tried,
			ShedChance: s.room.ShedChance(float64(v.inFlight), s.c.Slots), FailChance: honestFailure,
		}
		if s.c.Policy == PlacementByTrueState {
			if v.isGray {
				c.FailChance = grayFailure
			}
			return c
		}
		c.FailChance, c.IdleTime, c.IsUntried = s.model.FailChance(v.belief, now), now.Sub(v.used), !v.wasUsed
		c.IsDueTrial = must[i]
		return c
	}, request, s.random.Float64)
	r.isTrial = must[i]
	return i
}

// mustTry returns the servers that a request must try before others.
func (s *placingSim) mustTry(now time.Time, isRepeatable bool) []bool {
	out := make([]bool, len(s.servers))
	if s.c.Policy != PlacementByExpectedLoss {
		return out
	}
	cover := s.coverage.RuleAt(now)
	var idle []jyplace.IdleServer
	for i, v := range s.servers {
		if !cover.IsIdle(now, v.used, isRepeatable) {
			continue
		}
		idle = append(idle, jyplace.IdleServer{
			Index: i, FailChance: s.model.FailChance(v.belief, now), IsInBackoff: cover.IsInBackoff(now, v.used, v.belief.LastFailure()),
		})
	}
	for _, x := range cover.DueTrials(idle, []int{len(s.servers)}, 0) {
		out[x.Index] = true
	}
	return out
}

func (s *placingSim) leastBusy(r *placingRequest) int {
	first := s.random.IntN(len(s.servers))
	best := -1
	for k := range s.servers {
		i := (first + k) % len(s.servers)
		if i != r.tried && (best < 0 || s.servers[i].inFlight < s.servers[best].inFlight) {
			best = i
		}
	}
	return best
}
