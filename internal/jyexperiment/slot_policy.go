package jyexperiment

import (
	"fmt"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
	"github.com/jackdawyard/jackdawyard/pkg/jyslot"
)

// The ways of sharing slots.
const (
	PolicyRandom             = "random"
	PolicyTwoChoices         = "two choices"
	PolicyTwoChoicesWithWait = "two choices, short wait"
	PolicyFixedDivision      = "fixed division"
	PolicyLeases             = "leases"
)

// SlotPolicies lists the ways of sharing slots.
var SlotPolicies = []string{PolicyRandom, PolicyTwoChoices, PolicyTwoChoicesWithWait, PolicyFixedDivision, PolicyLeases}

// slotPolicy decides where a request goes, and when.
type slotPolicy interface {
	start(r *slotRequest)
	done(r *slotRequest)
}

func newSlotPolicy(s *slotSim) slotPolicy {
	switch s.c.Policy {
	case PolicyRandom:
		return &randomPolicy{s}
	case PolicyFixedDivision:
		return newDivision(s)
	case PolicyLeases:
		return &leasePolicy{sim: s, used: make([]int, s.c.Servers)}
	case PolicyTwoChoicesWithWait:
		return &twoChoices{sim: s, inFlight: matrix(s), wait: true}
	}
	return &twoChoices{sim: s, inFlight: matrix(s)}
}

func matrix(s *slotSim) [][]int {
	out := make([][]int, s.c.Instances)
	for i := range out {
		out[i] = make([]int, s.c.Servers)
	}
	return out
}

// randomPolicy takes any target.
type randomPolicy struct{ sim *slotSim }

func (p *randomPolicy) start(r *slotRequest) { p.sim.send(r, p.sim.random.IntN(p.sim.c.Servers)) }
func (p *randomPolicy) done(*slotRequest)    {}

// twoChoices takes the less loaded of two targets by the instance's own requests, as pkg/jyslot does.
type twoChoices struct {
	sim      *slotSim
	inFlight [][]int
	wait     bool
}

func (p *twoChoices) start(r *slotRequest) {
	at := func(i int) jyslot.Candidate {
		c := jyslot.Candidate{Slots: p.sim.c.Slots, InFlight: p.inFlight[r.instance][i], Limit: p.sim.c.Slots, Weight: 1}
		if slices.Contains(r.tried, i) {
			c.Weight = 0
		}
		return c
	}
	i := jyslot.Choose(p.sim.c.Servers, at, p.sim.random.Uint64(), p.sim.random.Uint64())
	if i == jyslot.None {
		return
	}
	if p.wait && len(r.tried) > 0 {
		// A refused request waits for about the time in which a slot becomes free.
		p.inFlight[r.instance][i]++
		p.sim.after(p.sim.c.MeanServiceTime/2, func() { p.sim.send(r, i) })
		return
	}
	p.inFlight[r.instance][i]++
	p.sim.send(r, i)
}

func (p *twoChoices) done(r *slotRequest) { p.inFlight[r.instance][r.target]-- }

// division gives each slot to one instance for good.
type division struct {
	sim     *slotSim
	free    [][]int // targets with a free slot of the instance, a target once for each slot
	waiting [][]*slotRequest
}

func newDivision(s *slotSim) *division {
	p := &division{sim: s, free: make([][]int, s.c.Instances), waiting: make([][]*slotRequest, s.c.Instances)}
	var names []string
	for i := range s.c.Instances {
		names = append(names, fmt.Sprint(i))
	}
	for t := range s.c.Servers {
		for k := range s.c.Slots {
			var owner int
			if _, err := fmt.Sscan(jyrendezvous.Top(fmt.Sprintf("%d/%d", t, k), names, 1)[0], &owner); err != nil {
				panic(err)
			}
			p.free[owner] = append(p.free[owner], t)
		}
	}
	return p
}

func (p *division) start(r *slotRequest) {
	if len(p.free[r.instance]) == 0 {
		p.waiting[r.instance] = append(p.waiting[r.instance], r)
		return
	}
	t := p.free[r.instance][0]
	p.free[r.instance] = p.free[r.instance][1:]
	p.sim.send(r, t)
}

func (p *division) done(r *slotRequest) {
	p.free[r.instance] = append(p.free[r.instance], r.target)
	p.next(r.instance)
}

func (p *division) next(instance int) {
	for len(p.waiting[instance]) > 0 {
		r := p.waiting[instance][0]
		p.waiting[instance] = p.waiting[instance][1:]
		if p.sim.now-r.arrived < p.sim.c.Deadline/2 {
			p.start(r)
			return
		}
	}
}

// leasePolicy asks one granting instance for a slot before each request, and tells it when the slot is free.
type leasePolicy struct {
	sim     *slotSim
	used    []int
	waiting []*slotRequest
}

func (p *leasePolicy) start(r *slotRequest) {
	p.sim.after(p.sim.c.OneWayDelay, func() { p.grant(r) })
}

func (p *leasePolicy) grant(r *slotRequest) {
	best := 0
	for i, n := range p.used {
		if n < p.used[best] {
			best = i
		}
	}
	if p.used[best] < p.sim.c.Slots {
		p.used[best]++
		p.sim.after(p.sim.c.OneWayDelay, func() { p.sim.send(r, best) })
		return
	}
	if len(p.waiting) < p.sim.c.Servers*p.sim.c.QueueLength {
		p.waiting = append(p.waiting, r)
	}
}

func (p *leasePolicy) done(r *slotRequest) {
	t := r.target
	p.sim.after(p.sim.c.OneWayDelay, func() {
		p.used[t]--
		if len(p.waiting) > 0 {
			next := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.grant(next)
		}
	})
}
