package jyexperiment

import (
	"fmt"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
	"github.com/jackdawyard/jackdawyard/pkg/jyslot"
)

// The policies of sharing slots.
const (
	PolicyRandom             = "random"
	PolicyTwoChoices         = "two choices"
	PolicyTwoChoicesWithWait = "two choices, short wait"
	PolicyFixedDivision      = "fixed division"
	PolicyLeases             = "leases"
)

// SlotPolicies lists all policies of sharing slots.
var SlotPolicies = []string{PolicyRandom, PolicyTwoChoices, PolicyTwoChoicesWithWait, PolicyFixedDivision, PolicyLeases}

// slotPolicy chooses the server of an attempt and the time at which the attempt is sent.
type slotPolicy interface {
	start(r *slotRequest)   // sends or queues an attempt, or drops the request
	release(r *slotRequest) // ends the attempt, with an answer or because the server shed it
}

func newSlotPolicy(s *slotSim) slotPolicy {
	switch s.config.Policy {
	case PolicyRandom:
		return &randomPolicy{s}
	case PolicyFixedDivision:
		return newFixedDivision(s)
	case PolicyLeases:
		return &leasePolicy{sim: s, slotsInUse: make([]int, s.config.Servers)}
	case PolicyTwoChoicesWithWait:
		return &twoChoices{sim: s, inFlight: newInFlightCounts(s), waitsAfterShed: true}
	}
	return &twoChoices{sim: s, inFlight: newInFlightCounts(s)}
}

// newInFlightCounts returns a zero count for each instance and server.
func newInFlightCounts(s *slotSim) [][]int {
	out := make([][]int, s.config.Instances)
	for i := range out {
		out[i] = make([]int, s.config.Servers)
	}
	return out
}

// randomPolicy chooses a server at random.
type randomPolicy struct{ sim *slotSim }

func (p *randomPolicy) start(r *slotRequest) { p.sim.send(r, p.sim.random.IntN(p.sim.config.Servers)) }
func (p *randomPolicy) release(*slotRequest) {}

// twoChoices chooses the less loaded of two random servers with pkg/jyslot, by the instance's requests in flight there. It
// doesn't choose a server twice for a request, and drops a request if no server is left.
type twoChoices struct {
	sim            *slotSim
	inFlight       [][]int // by instance and server
	waitsAfterShed bool    // delays attempts after the first
}

func (p *twoChoices) start(r *slotRequest) {
	candidateAt := func(i int) jyslot.Candidate {
		c := jyslot.Candidate{Slots: p.sim.config.Slots, InFlight: p.inFlight[r.instance][i], Limit: p.sim.config.Slots, Weight: 1}
		if slices.Contains(r.tried, i) {
			c.Weight = 0
		}
		return c
	}
	i := jyslot.Choose(p.sim.config.Servers, candidateAt, p.sim.random.Uint64(), p.sim.random.Uint64())
	if i == jyslot.None {
		return
	}
	if p.waitsAfterShed && len(r.tried) > 0 {
		// A shed request waits for about the time in which a slot becomes free, before it is sent to another server.
		p.inFlight[r.instance][i]++
		p.sim.after(p.sim.config.MeanServiceTime/2, func() { p.sim.send(r, i) })
		return
	}
	p.inFlight[r.instance][i]++
	p.sim.send(r, i)
}

func (p *twoChoices) release(r *slotRequest) { p.inFlight[r.instance][r.server]-- }

// fixedDivision assigns each slot to one instance by rendezvous hashing, for the whole run.
type fixedDivision struct {
	sim     *slotSim
	free    [][]int          // by instance: the servers of its free slots, one entry for each slot
	waiting [][]*slotRequest // by instance
}

func newFixedDivision(s *slotSim) *fixedDivision {
	p := &fixedDivision{sim: s, free: make([][]int, s.config.Instances), waiting: make([][]*slotRequest, s.config.Instances)}
	var instances []string
	for i := range s.config.Instances {
		instances = append(instances, fmt.Sprint(i))
	}
	for server := range s.config.Servers {
		for slot := range s.config.Slots {
			var owner int
			if _, err := fmt.Sscan(jyrendezvous.Top(fmt.Sprintf("%d/%d", server, slot), instances, 1)[0], &owner); err != nil {
				panic(err)
			}
			p.free[owner] = append(p.free[owner], server)
		}
	}
	return p
}

func (p *fixedDivision) start(r *slotRequest) {
	if len(p.free[r.instance]) == 0 {
		p.waiting[r.instance] = append(p.waiting[r.instance], r)
		return
	}
	server := p.free[r.instance][0]
	p.free[r.instance] = p.free[r.instance][1:]
	p.sim.send(r, server)
}

func (p *fixedDivision) release(r *slotRequest) {
	p.free[r.instance] = append(p.free[r.instance], r.server)
	p.startNext(r.instance)
}

// startNext starts the instance's next waiting request. It drops requests that have waited for half of their deadline or longer.
func (p *fixedDivision) startNext(instance int) {
	for len(p.waiting[instance]) > 0 {
		r := p.waiting[instance][0]
		p.waiting[instance] = p.waiting[instance][1:]
		if p.sim.now-r.arrived < p.sim.config.Deadline/2 {
			p.start(r)
			return
		}
	}
}

// leasePolicy asks one granting instance for a slot before each attempt, and returns the slot to it after the attempt.
type leasePolicy struct {
	sim        *slotSim
	slotsInUse []int          // by server
	waiting    []*slotRequest // at the granting instance, of all instances
}

func (p *leasePolicy) start(r *slotRequest) {
	p.sim.after(p.sim.config.OneWayDelay, func() { p.grant(r) })
}

// grant grants a slot of the least used server to the request. If no slot is free, it queues the request, or drops it if as many
// requests wait as the queues of all servers hold.
func (p *leasePolicy) grant(r *slotRequest) {
	best := 0
	for i, n := range p.slotsInUse {
		if n < p.slotsInUse[best] {
			best = i
		}
	}
	if p.slotsInUse[best] < p.sim.config.Slots {
		p.slotsInUse[best]++
		p.sim.after(p.sim.config.OneWayDelay, func() { p.sim.send(r, best) })
		return
	}
	if len(p.waiting) < p.sim.config.Servers*p.sim.config.QueueLength {
		p.waiting = append(p.waiting, r)
	}
}

// release returns the slot, and grants a slot to the request that has waited longest.
func (p *leasePolicy) release(r *slotRequest) {
	server := r.server
	p.sim.after(p.sim.config.OneWayDelay, func() {
		p.slotsInUse[server]--
		if len(p.waiting) > 0 {
			next := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.grant(next)
		}
	})
}
