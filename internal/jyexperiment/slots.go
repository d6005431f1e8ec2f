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
	Slots     int // of each server
	// QueueLength is the maximum number of requests that wait at a server, which sheds further ones.
	QueueLength int
	// Load is the rate of requests as a share of the capacity of all slots.
	Load            float64
	MeanServiceTime time.Duration // of a request in a slot
	OneWayDelay     time.Duration // from an instance to a server or to another instance
	Deadline        time.Duration // of a request, from its arrival
	RunDuration     time.Duration // virtual time in which requests arrive
	Policy          string        // one of SlotPolicies
	// OverloadUntil is the virtual time before which the load is twice as high, to measure how fast the service recovers.
	OverloadUntil time.Duration
}

// SlotResult is the result of one run of a case.
type SlotResult struct {
	// Goodput is the number of requests answered within their deadline, as a share of the capacity of all slots or, if that is
	// less, of the offered load.
	Goodput float64
	// P99 is the 99th percentile of the latencies of the requests answered within their deadline.
	P99 time.Duration
	// ShedsPerRequest is the mean number of attempts of a request that servers shed.
	ShedsPerRequest float64
	// AttemptsPerRequest is the mean number of attempts of a request.
	AttemptsPerRequest float64
	// Fairness is the ratio of the lowest goodput of an instance to the mean over instances.
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
	goodByInstance                   []int           // number of requests answered within their deadline
	goodBySecond                     []int           // the same, by the virtual second of the answer
	latencies                        []time.Duration // of the requests answered within their deadline
}

type slotServer struct {
	busySlots int
	waiting   []*slotRequest
}

type slotRequest struct {
	instance int
	arrived  time.Duration // virtual time
	server   int           // of the current attempt
	tried    []int         // servers of all attempts
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

// arrive starts a new request at a random instance and schedules the arrival of the next one.
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

// send sends an attempt to a server, where it arrives after OneWayDelay.
func (s *slotSim) send(r *slotRequest, to int) {
	r.server = to
	r.tried = append(r.tried, to)
	s.attempts++
	s.after(s.config.OneWayDelay, func() { s.enqueue(r) })
}

// enqueue serves, queues or sheds a request that has arrived at its server.
func (s *slotSim) enqueue(r *slotRequest) {
	v := &s.servers[r.server]
	switch {
	case v.busySlots < s.config.Slots:
		v.busySlots++
		s.serve(r)
	case len(v.waiting) < s.config.QueueLength:
		v.waiting = append(v.waiting, r)
	default:
		s.shedAttempts++
		s.after(s.config.OneWayDelay, func() { s.handleShed(r) })
	}
}

// serve serves the request in a busy slot, and then the next waiting request in the same slot.
func (s *slotSim) serve(r *slotRequest) {
	d := time.Duration(float64(s.config.MeanServiceTime) * math.Exp(latencySigma*s.random.NormFloat64()-latencySigma*latencySigma/2))
	s.after(d, func() {
		s.after(s.config.OneWayDelay, func() { s.recordAnswer(r) })
		v := &s.servers[r.server]
		if len(v.waiting) == 0 {
			v.busySlots--
			return
		}
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		s.serve(next)
	})
}

// recordAnswer counts an answer that has arrived at the instance, unless the deadline has passed.
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

// handleShed retries a shed request if its number of attempts, its deadline and the instance's retry budget allow it.
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

// fullGoodputShare is the share of the possible goodput, from 0 to 1, that a second must reach to count as one with full goodput.
const fullGoodputShare = 0.95

// recoveryTime returns the time from OverloadUntil to the start of the first second with full goodput, or RunDuration if there is
// none.
func (s *slotSim) recoveryTime() time.Duration {
	first := int(s.config.OverloadUntil / time.Second)
	for i := first; i < int(s.config.RunDuration/time.Second); i++ {
		if float64(s.goodBySecond[i]) >= fullGoodputShare*math.Min(1, s.config.Load)*s.capacity() {
			return time.Duration(i-first) * time.Second
		}
	}
	return s.config.RunDuration
}
