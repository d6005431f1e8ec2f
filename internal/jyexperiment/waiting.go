package jyexperiment

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// waitingSim is a run of a WaitingCase in virtual time.
type waitingSim struct {
	clock
	config    WaitingCase
	rules     waitingRules
	random    *rand.Rand
	model     jybelief.Config
	coverage  *jyplace.Coverage
	servers   []waitingServer
	instances []*waitingInstance
	known     [][]int // load of each server that the instances of each data centre told each other
	views     []int   // load of each server in the last view that the data centres exchanged
	central   []*waitingVisit
	lastID    uint64
	result    waitingCounts
}

type waitingServer struct {
	busySlots int
	waiting   []*waitingAttempt
	inFlight  int
	belief    jybelief.Belief
	lastUsed  time.Time
}

// SimulateWaiting runs the case and returns the outcomes of its requests.
func SimulateWaiting(c WaitingCase, seed uint64) WaitingResult {
	s := &waitingSim{
		config: c, rules: rulesOf(c.Policy), random: rand.New(rand.NewPCG(seed, 11)), model: jybelief.DefaultConfig(),
		coverage: jyplace.NewCoverage(jyplace.DefaultCoverage(minUsedShare)), servers: make([]waitingServer, c.Servers),
		views: make([]int, c.Servers), result: newWaitingCounts(c),
	}
	for centre := range c.Centres {
		s.known = append(s.known, make([]int, c.Servers))
		s.after(0, func() { s.arrive(centre) })
	}
	for i := range c.Instances {
		s.instances = append(s.instances, s.newInstance(i%c.Centres))
	}
	for i := range s.servers {
		// All servers were in use before the run.
		s.servers[i].lastUsed = s.wallTime().Add(-time.Duration(s.random.Float64() * float64(time.Second)))
	}
	s.after(0, s.shareViews)
	if c.Restart.Until > 0 {
		s.after(c.Restart.From, s.killInstances)
	}
	s.run()
	return s.result.shares()
}

func (s *waitingSim) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

// at returns the wall time of a virtual time.
func (s *waitingSim) at(t time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(t) }

// arrive makes a caller of the data centre send a new request, and schedules the next one. Arrivals are drawn at the highest rate
// and thinned out.
func (s *waitingSim) arrive(centre int) {
	if s.now >= s.config.RunDuration {
		return
	}
	c := s.config
	highest := c.Rate / float64(c.Centres) * (1 + c.WaveAmplitude) * max(1, c.SurgeFactor)
	s.after(time.Duration(s.random.ExpFloat64()/highest*float64(time.Second)), func() { s.arrive(centre) })
	r := &waitingRequest{
		arrived: s.now, deadline: s.now + c.Deadline, priority: s.random.IntN(c.Priorities), centre: centre,
	}
	r.account, _ = slices.BinarySearch(accountWeights, s.random.Float64())
	phase := 2 * math.Pi * (s.now.Seconds()/max(time.Second, c.WavePeriod).Seconds() + float64(centre)/float64(c.Centres))
	share := (1 + c.WaveAmplitude*math.Sin(phase)) / (1 + c.WaveAmplitude)
	if c.SurgeFactor > 1 && !(c.Surge.contains(s.now) && s.surges(r)) {
		share /= c.SurgeFactor
	}
	if s.random.Float64() >= share {
		return
	}
	s.lastID++
	r.id = s.lastID
	r.isCountedAsTrouble = c.trouble().contains(s.now)
	s.result.recordArrival(r)
	s.after(c.Deadline, func() { s.end(r, false) })
	s.send(r)
}

func (s *waitingSim) surges(r *waitingRequest) bool {
	switch s.config.SurgeOf {
	case OnePriority:
		return r.priority == 1
	case OneAccount:
		return r.account == 0
	case OneCentre:
		return r.centre == 0
	}
	return true
}

// send sends the caller's request to an instance of its data centre. While all instances are down, the caller tries again when they
// are back.
func (s *waitingSim) send(r *waitingRequest) {
	s.after(s.config.CallerDelay, func() {
		if r.isEnded {
			return
		}
		if s.config.Restart.contains(s.now) {
			s.after(s.config.Restart.Until-s.now, func() { s.send(r) })
			return
		}
		r.generation++
		perCentre := s.config.Instances / s.config.Centres
		n := s.instances[s.random.IntN(perCentre)*s.config.Centres+r.centre]
		s.handle(&waitingVisit{request: r, instance: n, arrived: s.now, generation: r.generation})
	})
}

// killInstances loses all requests at the instances and all that these know.
func (s *waitingSim) killInstances() {
	for i, n := range s.instances {
		n.isKilled = true
		s.instances[i] = s.newInstance(n.centre)
	}
	for _, known := range s.known {
		clear(known)
	}
	open := slices.SortedFunc(maps.Keys(s.result.open), func(a, b *waitingRequest) int { return cmp.Compare(a.id, b.id) })
	for _, r := range open {
		r.generation++
		s.send(r)
	}
}

// end ends a request that was answered or whose deadline passed.
func (s *waitingSim) end(r *waitingRequest, isAnswered bool) {
	if r.isEnded {
		return
	}
	r.isEnded = true
	s.result.recordEnd(r, isAnswered, s.now+s.config.CallerDelay-r.arrived <= s.config.Objective)
}

// refuse refuses a visit. The caller sends a new request if the time that it is told is at most a third of what it has left.
func (s *waitingSim) refuse(v *waitingVisit, after time.Duration) {
	s.result.maxHeld = max(s.result.maxHeld, s.now-v.arrived)
	s.coverage.Observe(s.wallTime(), 0, 1)
	r := v.request
	r.generation++
	s.after(s.config.CallerDelay, func() {
		if after > 0 && after <= (r.deadline-s.now)/3 {
			s.after(after, func() { s.send(r) })
		}
	})
}
