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
func (v *Service) chooseByLoss(now time.Time, n Need) (Placement, error) {
	request := jyplace.Request{Work: v.latency.workValue(n.Objective / unknownWork), Objective: n.Objective, IsRepeatable: n.IsRepeatable}
	cover, lacking := v.cover(now)
	i := jyplace.Choose(len(v.Servers), func(i int) jyplace.Candidate {
		c := v.candidate(now, v.Servers[i], n)
		c.IsDue = lacking && v.isNearby(v.Servers[i]) && cover.IsDue(now, v.Servers[i].lastUsed(), c.FailChance, n.IsRepeatable)
		return c
	}, request, rand.Float64)
	if i == jyplace.None {
		return Placement{}, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
	}
	s := v.Servers[i]
	load := s.load(now)
	failChance, _, _ := s.health.outlook(now)
	s.inFlight.Add(1)
	s.markUsed(now)
	if v.observer != nil {
		v.observer.Started(s)
	}
	return Placement{Server: s, Load: load, FailChance: failChance}, nil
}

func (v *Service) candidate(now time.Time, s *Server, n Need) jyplace.Candidate {
	c := jyplace.Candidate{InFlight: float64(s.load(now)), Slots: s.Info.Slots, Unused: now.Sub(s.lastUsed())}
	c.IsExcluded = n.excludes(s) || s.IsDraining(now) || s.InFlight() >= queueFactor*s.Info.Slots
	if c.IsExcluded {
		return c
	}
	c.FailChance, c.Slowdown, c.IsNew = s.health.outlook(now)
	c.IsNew = c.IsNew && s.used.Load() == 0
	if s.isPassedOver(now) {
		c.FailChance = 1
	}
	c.ShedChance = v.shedChance(now, s, c.InFlight)
	if !v.isNearby(s) {
		c.Distance = remoteDistance
		c.IsNew = false
	}
	return c
}

// shedChance returns the chance that the server, which holds load requests, sheds another.
func (v *Service) shedChance(now time.Time, s *Server, load float64) float64 {
	v.mu.Lock()
	chance := v.room.ShedChance(load, s.Info.Slots)
	v.mu.Unlock()
	if s.isFull(now) {
		return max(chance, shedAgainChance)
	}
	return chance
}

// NoteShed records that a server shed a request.
func (v *Service) NoteShed(now time.Time, p Placement) {
	p.Server.full.Store(now.Add(fullTime).UnixNano())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.room.Shed(p.Load, p.Server.Info.Slots)
}

// noteTaken records that a server worked on a request.
func (v *Service) noteTaken(p Placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.room.Took(p.Load, p.Server.Info.Slots)
}

// load returns the requests that all instances have at the server, as far as known here.
func (s *Server) load(now time.Time) int {
	return max(s.InFlight()+s.hearsay.others(now), s.hearsay.viewedLoad(now))
}

func (n Need) excludes(s *Server) bool {
	for _, x := range n.Exclude {
		if x == s {
			return true
		}
	}
	return false
}
