package jyexperiment

import (
	"github.com/jackdawyard/jackdawyard/pkg/jydistance"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// choose returns the index of the server that the policy of the case selects, or jyplace.None.
func (s *distanceSim) choose(r *distanceRequest) int {
	costs, isAllowed := s.distanceCosts(r)
	i := s.chooseAmong(r, costs, isAllowed)
	if i == jyplace.None {
		return s.chooseAmong(r, costs, func(int) bool { return true })
	}
	return i
}

// chooseAmong returns the server with the lowest expected loss in the allowed data centres.
func (s *distanceSim) chooseAmong(r *distanceRequest, costs []float64, isAllowed func(centre int) bool) int {
	request := jyplace.Request{ServiceTime: s.config.MeanServiceTime, Objective: s.config.Objective}
	return jyplace.Choose(len(s.servers), func(i int) jyplace.Candidate {
		v := s.servers[i]
		load := s.knownLoad(v, r.from)
		return jyplace.Candidate{
			InFlight: load, Slots: s.config.Slots, Slowdown: 1, DistanceCost: costs[v.centre],
			ShedChance: s.centres[r.from].shedModel.ShedChance(load, s.config.Slots),
			IsExcluded: i == r.tried || !s.works(v) || !isAllowed(v.centre),
		}
	}, request, s.random.Float64)
}

// distanceCosts returns the cost of each data centre for the request, and which data centres the policy allows.
func (s *distanceSim) distanceCosts(r *distanceRequest) ([]float64, func(centre int) bool) {
	costs := make([]float64, len(s.centres))
	all := func(int) bool { return true }
	switch s.config.Policy {
	case DistanceFixedCost:
		s.addCost(costs, r.from, fixedDistanceCost)
	case DistanceStaticWeights:
		target := s.drawBySlots()
		return costs, func(centre int) bool { return centre == target }
	case DistanceOverflow:
		if s.hasFreeSlot(r.from) {
			return costs, func(centre int) bool { return centre == r.from }
		}
	case DistanceByShare:
		s.addShareCosts(costs, r.from)
	case DistanceAllKnown:
		s.addCost(costs, r.from, s.realCost())
	}
	return costs, all
}

func (s *distanceSim) addCost(costs []float64, from int, cost float64) {
	for i := range costs {
		if i != from {
			costs[i] += cost
		}
	}
}

// realCost returns the cost of a request to another data centre.
func (s *distanceSim) realCost() float64 {
	return jydistance.Cost(jydistance.Link{RoundTrip: s.config.RoundTrip},
		jydistance.Transfer{Bytes: s.config.RequestBytes, PricePerGigabyte: s.config.TransferPrice}, s.config.Objective)
}

// addShareCosts adds the costs as jybackend does where traffic has a price.
func (s *distanceSim) addShareCosts(costs []float64, from int) {
	share := &s.centres[from].share
	drawn, isDrawn := share.Draw(s.random.Float64())
	stayCost := max(s.realCost(), fixedDistanceCost)
	if share.CoversDemand(s.wallTime()) {
		stayCost = s.realCost() + jydistance.Reluctance
	}
	s.addCost(costs, from, stayCost)
	for i := range costs {
		if i != from && isDrawn && centreName(i) == drawn {
			costs[i] = s.realCost()
		}
	}
}

// drawBySlots returns a random data centre in proportion to the slots that each has without faults.
func (s *distanceSim) drawBySlots() int {
	return s.servers[s.random.IntN(len(s.servers))].centre
}

// hasFreeSlot reports whether a server of the data centre that works has a free slot.
func (s *distanceSim) hasFreeSlot(centre int) bool {
	for _, v := range s.servers {
		if v.centre == centre && s.works(v) && v.load() < s.config.Slots {
			return true
		}
	}
	return false
}
