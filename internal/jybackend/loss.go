package jybackend

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

const (
	// remoteDistance is what a request to another data centre costs, as a share of its worth.
	remoteDistance = 0.05
	// queueFactor bounds the requests of this instance at one server, as a multiple of its slots.
	queueFactor = 3
	// unknownWork is the part of the objective that work is taken for where no answer has come yet.
	unknownWork = 4
)

// chooseByLoss picks the server at which the request is expected to lose least, and counts the request there.
func (v *Service) chooseByLoss(now time.Time, n Requirements) (Placement, error) {
	request := jyplace.Request{ServiceTime: v.latency.workValue(n.Objective / unknownWork), Objective: n.Objective, IsRetryable: n.IsRetryable}
	must := v.mustTry(now, n.IsRetryable)
	isDue := func(i int) bool { return must != nil && must[i] }
	i := jyplace.Choose(len(v.Servers), func(i int) jyplace.Candidate {
		c := v.candidate(now, v.Servers[i], n)
		c.IsDueTrial = isDue(i)
		return c
	}, request, rand.Float64)
	if i == jyplace.None {
		return Placement{}, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
	}
	s := v.Servers[i]
	chosen := Placement{Server: s, Load: s.load(now), FailChance: s.health.prospect(now).failChance, IsTrial: isDue(i)}
	s.inFlight.Add(1)
	s.markUsed(now)
	if v.observer != nil {
		v.observer.Started(s)
	}
	return chosen, nil
}

func (v *Service) candidate(now time.Time, s *Server, n Requirements) jyplace.Candidate {
	c := jyplace.Candidate{InFlight: float64(s.load(now)), Slots: s.Info.Slots, IdleTime: now.Sub(s.lastUsed())}
	c.IsExcluded = n.excludes(s) || s.isClosed(now) || s.InFlight() >= queueFactor*s.Info.Slots
	if c.IsExcluded {
		return c
	}
	p := s.health.prospect(now)
	c.FailChance, c.Slowdown, c.IsUntried = p.failChance, p.slowdown, p.isNew && s.used.Load() == 0
	if s.isPassedOver(now) {
		c.FailChance = 1
	}
	c.ShedChance = v.shedChance(now, s, c.InFlight)
	if !v.isNearby(s) {
		c.DistanceCost = remoteDistance
		c.IsUntried = false
	}
	return c
}

// load returns the requests that all instances have at the server, as far as known here.
func (s *Server) load(now time.Time) int {
	return max(s.InFlight()+s.hearsay.others(now), s.hearsay.viewedLoad(now))
}

func (n Requirements) excludes(s *Server) bool {
	for _, x := range n.Exclude {
		if x == s {
			return true
		}
	}
	return false
}
