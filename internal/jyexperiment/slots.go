package jyexperiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
)

// SlotCase is one way of sharing the slots of a service's targets under one load.
type SlotCase struct {
	Instances int
	Servers   int
	Slots     int
	// QueueLength is the number of requests that wait at a target before it sheds load.
	QueueLength int
	// Load is the offered work as a share of what all slots can do.
	Load            float64
	MeanServiceTime time.Duration // mean time of a request in a slot
	OneWayDelay     time.Duration // between an instance and a target, or another instance
	Deadline        time.Duration
	RunDuration     time.Duration // of arrivals
	Policy          string
	// OverloadUntil makes the load twice as high before this time, to see whether the service recovers.
	OverloadUntil time.Duration
}

// SlotResult is what one run found.
type SlotResult struct {
	// Goodput is the share of what all slots can do, or of the offered work if that is less, that ended within its deadline.
	Goodput float64
	P99     time.Duration
	// ShedsPerRequest is the number of attempts that a target refused, for each request.
	ShedsPerRequest float64
	// AttemptsPerRequest is the number of attempts for each request.
	AttemptsPerRequest float64
	// Fairness is the goodput of the worst instance against the mean.
	Fairness float64
	// RecoveryTime is the time after OverloadUntil until a second with full goodput.
	RecoveryTime time.Duration
}

// slotSim is one run in virtual time.
type slotSim struct {
	clock
	c       SlotCase
	random  *rand.Rand
	targets []target
	policy  slotPolicy
	budgets []*jyretry.Budget

	arrived, attempts, sheds int
	good                     []int // by instance
	goodBySecond             []int
	latencies                []time.Duration
}

type target struct {
	busy    int
	waiting []*slotRequest
}

type slotRequest struct {
	instance int
	arrived  time.Duration
	target   int
	tried    []int
}

// SimulateSlots runs one case.
func SimulateSlots(c SlotCase, seed uint64) SlotResult {
	s := &slotSim{
		c: c, random: rand.New(rand.NewPCG(seed, 5)), targets: make([]target, c.Servers), good: make([]int, c.Instances),
		goodBySecond: make([]int, int(c.RunDuration/time.Second)+2),
	}
	for range c.Instances {
		s.budgets = append(s.budgets, jyretry.NewBudget(jyretry.BudgetConfig{Share: retryShare}))
	}
	s.policy = newSlotPolicy(s)
	s.after(0, s.arrive)
	s.run()
	return s.result()
}

// retryShare is the default of the setting RetryBudgetShare.
const retryShare = 0.2

func (s *slotSim) capacity() float64 {
	return float64(s.c.Servers*s.c.Slots) / s.c.MeanServiceTime.Seconds()
}

func (s *slotSim) arrive() {
	if s.now >= s.c.RunDuration {
		return
	}
	rate := s.c.Load * s.capacity()
	if s.now < s.c.OverloadUntil {
		rate *= 2
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.arrived++
	r := &slotRequest{instance: s.random.IntN(s.c.Instances), arrived: s.now}
	s.policy.start(r)
}

// send brings a request to a target.
func (s *slotSim) send(r *slotRequest, to int) {
	r.target = to
	r.tried = append(r.tried, to)
	s.attempts++
	s.after(s.c.OneWayDelay, func() { s.reach(r) })
}

func (s *slotSim) reach(r *slotRequest) {
	t := &s.targets[r.target]
	switch {
	case t.busy < s.c.Slots:
		t.busy++
		s.work(r)
	case len(t.waiting) < s.c.QueueLength:
		t.waiting = append(t.waiting, r)
	default:
		s.sheds++
		s.after(s.c.OneWayDelay, func() { s.shed(r) })
	}
}

func (s *slotSim) work(r *slotRequest) {
	d := time.Duration(float64(s.c.MeanServiceTime) * math.Exp(latencySpread*s.random.NormFloat64()-latencySpread*latencySpread/2))
	s.after(d, func() {
		s.after(s.c.OneWayDelay, func() { s.finish(r) })
		t := &s.targets[r.target]
		if len(t.waiting) == 0 {
			t.busy--
			return
		}
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		s.work(next)
	})
}

func (s *slotSim) finish(r *slotRequest) {
	s.policy.done(r)
	s.budgets[r.instance].CreditSuccess()
	took := s.now - r.arrived
	if took > s.c.Deadline {
		return
	}
	s.good[r.instance]++
	s.goodBySecond[min(len(s.goodBySecond)-1, int(s.now/time.Second))]++
	s.latencies = append(s.latencies, took)
}

// shed retries a refused request at another target if the budget allows.
func (s *slotSim) shed(r *slotRequest) {
	s.policy.done(r)
	if len(r.tried) < jyretry.MaxAttempts && s.now-r.arrived < s.c.Deadline && s.budgets[r.instance].Take(time.Time{}) {
		s.policy.start(r)
	}
}

func (s *slotSim) result() SlotResult {
	total := 0
	for _, n := range s.good {
		total += n
	}
	possible := math.Min(1, s.c.Load) * s.capacity() * s.c.RunDuration.Seconds()
	out := SlotResult{
		Goodput:            float64(total) / possible,
		ShedsPerRequest:    float64(s.sheds) / float64(s.arrived),
		AttemptsPerRequest: float64(s.attempts) / float64(s.arrived),
		Fairness:           float64(slices.Min(s.good)) * float64(s.c.Instances) / math.Max(1, float64(total)),
	}
	if len(s.latencies) > 0 {
		slices.Sort(s.latencies)
		out.P99 = s.latencies[len(s.latencies)*99/100]
	}
	out.RecoveryTime = s.recovery()
	return out
}

// fullShare of the possible goodput counts as full.
const fullShare = 0.95

func (s *slotSim) recovery() time.Duration {
	first := int(s.c.OverloadUntil / time.Second)
	for i := first; i < int(s.c.RunDuration/time.Second); i++ {
		if float64(s.goodBySecond[i]) >= fullShare*math.Min(1, s.c.Load)*s.capacity() {
			return time.Duration(i-first) * time.Second
		}
	}
	return s.c.RunDuration
}
