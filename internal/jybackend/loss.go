package jybackend

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

const (
	// remoteDistanceCost is the cost of a request to another data centre, as a share of the request's value, where traffic has no
	// price. Where it has one, it applies while the capacity of other data centres is unknown or too small.
	remoteDistanceCost = 0.05
	// maxInFlightPerSlot is the maximum number of this instance's requests at one server, per slot of the server.
	maxInFlightPerSlot = 3
	// unknownServiceTimeDivisor divides the objective to get the assumed service time until the first answer.
	unknownServiceTimeDivisor = 4
)

// chooseByExpectedLoss picks the server with the lowest expected loss for the request, and counts the request there.
func (v *Service) chooseByExpectedLoss(now time.Time, r Requirements) (Placement, error) {
	request := v.placeRequest(r)
	r.isOverShare = v.askShare(now, r)
	for range maxChoices {
		chosen, ok := v.placeByExpectedLoss(now, r, request)
		if !ok {
			break
		}
		if !chosen.Server.TakeQuota(now) {
			continue
		}
		chosen.Server.inFlight.Add(1)
		chosen.Server.recordRequestSent(now)
		v.countSent(chosen.Server)
		v.recordAdmitted(now, r)
		v.distance.recordSent(now, 1)
		if v.observer != nil {
			v.observer.Started(chosen.Server)
		}
		return chosen, nil
	}
	return Placement{}, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
}

// placeRequest returns the properties of a request that the expected loss depends on.
func (v *Service) placeRequest(r Requirements) jyplace.Request {
	return jyplace.Request{
		ServiceTime: v.latency.serviceTimeOr(r.Objective / unknownServiceTimeDivisor),
		Objective:   r.Objective, IsRetryable: r.IsRetryable,
	}
}

// placeByExpectedLoss returns the server with the lowest expected loss, or false if all are excluded.
func (v *Service) placeByExpectedLoss(now time.Time, r Requirements, request jyplace.Request) (Placement, bool) {
	due := v.dueTrials(now, r.IsRetryable)
	isDue := func(i int) bool { return due != nil && due[i] }
	distanceCosts := v.distanceCosts(now, r.Objective)
	candidateAt := func(i int) jyplace.Candidate {
		c := v.candidate(now, v.Servers[i], r)
		c.DistanceCost = distanceCosts[v.centreOf[i]]
		c.IsDueTrial = isDue(i)
		return c
	}
	i := jyplace.Choose(len(v.Servers), candidateAt, request, rand.Float64)
	if i != jyplace.None && !isDue(i) && v.isRefused(now, v.Servers[i], r) {
		i = jyplace.Choose(len(v.Servers), func(i int) jyplace.Candidate {
			return v.leaveOutFull(now, v.Servers[i], r, candidateAt(i))
		}, request, rand.Float64)
	}
	if i == jyplace.None {
		return Placement{}, false
	}
	s := v.Servers[i]
	return Placement{Server: s, Load: s.load(now), FailChance: s.health.failureEstimate(now).failChance, IsTrial: isDue(i)}, true
}

// candidate returns what this instance knows about the server, for a request with these requirements. DistanceCost is not set.
func (v *Service) candidate(now time.Time, s *Server, r Requirements) jyplace.Candidate {
	c := jyplace.Candidate{InFlight: float64(s.load(now)), Slots: s.Info.Slots, IdleTime: now.Sub(s.lastRequestAt())}
	c.IsExcluded = r.excludes(s) || !s.takesRequests(now) || s.InFlight() >= maxInFlightPerSlot*s.Info.Slots
	if c.IsExcluded {
		return c
	}
	e := s.health.failureEstimate(now)
	c.FailChance, c.Slowdown, c.IsUntried = e.failChance, e.slowdown, e.isUnobserved && s.lastRequestNanos.Load() == 0
	if s.isSkippedUnreachable(now) {
		c.FailChance = 1
	}
	c.ShedChance = v.shedChance(now, s, c.InFlight)
	c.IsUntried = c.IsUntried && v.isLocal(s)
	return c
}

// load returns the number of requests of all instances at the server, as far as known.
func (s *Server) load(now time.Time) int {
	return max(s.InFlight()+s.peerLoads.inFlight(now), s.peerLoads.recentRemoteLoad(now))
}

func (r Requirements) excludes(s *Server) bool {
	for _, x := range r.Exclude {
		if x == s {
			return true
		}
	}
	return false
}
