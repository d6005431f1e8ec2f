package jyexperiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
)

// SlotCase is a policy of sharing the slots of a service's servers under one load.
type SlotCase struct {
	Instances int
	Servers   int
	Slots     int
	// QueueLength is the number of requests that wait at a server before it sheds more.
	QueueLength int
	// Load is the rate of requests as a share of the capacity of all slots.
	Load            float64
	MeanServiceTime time.Duration // of a request in a slot
	OneWayDelay     time.Duration // from an instance to a server or to another instance
	Deadline        time.Duration
	RunDuration     time.Duration // virtual time in which requests arrive
	Policy          string
	// OverloadUntil is the time before which the load is twice as high, to measure whether the service recovers.
	OverloadUntil time.Duration
}

// SlotResult is the result of one run of a case.
type SlotResult struct {
	// Goodput is the number of requests answered within their deadline, as a share of the capacity of all slots or, if that is
	// less, of the offered load.
	Goodput float64
	P99     time.Duration
	// ShedsPerRequest is the mean number of attempts of a request that servers shed.
	ShedsPerRequest float64
	// AttemptsPerRequest is the mean number of attempts of a request.
	AttemptsPerRequest float64
	// Fairness is the ratio of the worst instance's goodput to the mean.
	Fairness float64
	// RecoveryTime is the time from OverloadUntil to the first second with full goodput, or RunDuration if there is none.
	RecoveryTime time.Duration
}

// slotSim is a run of a SlotCase in virtual time.
type slotSim struct {
	clock
	config       SlotCase
	random       *rand.Rand
	servers      []slotServer
	policy       slotPolicy
	retryBudgets []*jyretry.Budget

	requests, attempts, shedAttempts int
	goodByInstance                   []int // number of requests answered within their deadline
	goodBySecond                     []int // the same, by the virtual second of the answer
	latencies                        []time.Duration
}

type slotServer struct {
	busy    int
	waiting []*slotRequest
}

type slotRequest struct {
	instance int
	arrived  time.Duration
	server   int
	tried    []int
}

// SimulateSlots runs the case and returns its result.
func SimulateSlots(c SlotCase, seed uint64) SlotResult {
	s := &slotSim{
		config: c, random: rand.New(rand.NewPCG(seed, 5)), servers: make([]slotServer, c.Servers), goodByInstance: make([]int, c.Instances),
		goodBySecond: make([]int, int(c.RunDuration/time.Second)+2),
	}
	for range c.Instances {
		s.retryBudgets = append(s.retryBudgets, jyretry.NewBudget(jyretry.BudgetConfig{Share: retryBudgetShare}))
	}
	s.policy = newSlotPolicy(s)
	s.after(0, s.arrive)
	s.run()
	return s.result()
}

// retryBudgetShare is the default of the setting RetryBudgetShare.
const retryBudgetShare = 0.2

// capacity returns the requests per second that all slots can serve.
func (s *slotSim) capacity() float64 {
	return float64(s.config.Servers*s.config.Slots) / s.config.MeanServiceTime.Seconds()
}

func (s *slotSim) arrive() {
	if s.now >= s.config.RunDuration {
		return
	}
	rate := s.config.Load * s.capacity()
	if s.now < s.config.OverloadUntil {
		rate *= 2
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.requests++
	r := &slotRequest{instance: s.random.IntN(s.config.Instances), arrived: s.now}
	s.policy.start(r)
}

// send sends an attempt to a server.
func (s *slotSim) send(r *slotRequest, to int) {
	r.server = to
	r.tried = append(r.tried, to)
	s.attempts++
	s.after(s.config.OneWayDelay, func() { s.enqueue(r) })
}

func (s *slotSim) enqueue(r *slotRequest) {
	t := &s.servers[r.server]
	switch {
	case t.busy < s.config.Slots:
		t.busy++
		s.serve(r)
	case len(t.waiting) < s.config.QueueLength:
		t.waiting = append(t.waiting, r)
	default:
		s.shedAttempts++
		s.after(s.config.OneWayDelay, func() { s.handleShed(r) })
	}
}

func (s *slotSim) serve(r *slotRequest) {
	d := time.Duration(float64(s.config.MeanServiceTime) * math.Exp(latencySigma*s.random.NormFloat64()-latencySigma*latencySigma/2))
	s.after(d, func() {
		s.after(s.config.OneWayDelay, func() { s.recordAnswer(r) })
		t := &s.servers[r.server]
		if len(t.waiting) == 0 {
			t.busy--
			return
		}
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		s.serve(next)
	})
}

func (s *slotSim) recordAnswer(r *slotRequest) {
	s.policy.release(r)
	s.retryBudgets[r.instance].CreditSuccess()
	elapsed := s.now - r.arrived
	if elapsed > s.config.Deadline {
		return
	}
	s.goodByInstance[r.instance]++
	s.goodBySecond[min(len(s.goodBySecond)-1, int(s.now/time.Second))]++
	s.latencies = append(s.latencies, elapsed)
}

// handleShed retries a shed request if its deadline and the instance's retry budget allow it.
func (s *slotSim) handleShed(r *slotRequest) {
	s.policy.release(r)
	if len(r.tried) < jyretry.MaxAttempts && s.now-r.arrived < s.config.Deadline && s.retryBudgets[r.instance].Take(time.Time{}) {
		s.policy.start(r)
	}
}

func (s *slotSim) result() SlotResult {
	total := 0
	for _, n := range s.goodByInstance {
		total += n
	}
	possible := math.Min(1, s.config.Load) * s.capacity() * s.config.RunDuration.Seconds()
	out := SlotResult{
		Goodput:            float64(total) / possible,
		ShedsPerRequest:    float64(s.shedAttempts) / float64(s.requests),
		AttemptsPerRequest: float64(s.attempts) / float64(s.requests),
		Fairness:           float64(slices.Min(s.goodByInstance)) * float64(s.config.Instances) / math.Max(1, float64(total)),
	}
	if len(s.latencies) > 0 {
		slices.Sort(s.latencies)
		out.P99 = s.latencies[len(s.latencies)*99/100]
	}
	out.RecoveryTime = s.recoveryTime()
	return out
}

// fullGoodputShare is the share of the possible goodput that counts as full.
const fullGoodputShare = 0.95

func (s *slotSim) recoveryTime() time.Duration {
	first := int(s.config.OverloadUntil / time.Second)
	for i := first; i < int(s.config.RunDuration/time.Second); i++ {
		if float64(s.goodBySecond[i]) >= fullGoodputShare*math.Min(1, s.config.Load)*s.capacity() {
			return time.Duration(i-first) * time.Second
		}
	}
	return s.config.RunDuration
}
