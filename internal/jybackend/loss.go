package jybackend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// grayModel is how backend servers turn gray: for seconds at a time.
var grayModel = jybelief.Config{Onset: 0.05, Recovery: 0.12, FailWell: 0.012, FailGray: 0.9}

const (
	// remoteDistance is what a request to another data centre costs, as a share of its worth.
	remoteDistance = 0.025
	// coldSlowdown is how much longer a server works that has just started.
	coldSlowdown = 2
	// queueFactor bounds the requests of this instance at one server, as a multiple of its slots.
	queueFactor = 3
	// unknownWork is the part of the objective that work is taken for where no answer has come yet.
	unknownWork = 4
)

// health is what is believed of one server at this moment.
type health struct {
	mu        sync.Mutex
	belief    jybelief.Belief
	coldUntil time.Time
}

func (h *health) observe(now time.Time, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.belief = grayModel.Observe(h.belief, now, failed)
}

// outlook returns the chance that a request fails now, and how much longer than usual it takes.
func (h *health) outlook(now time.Time) (failChance, slowdown float64, isNew bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	slowdown = 1
	if now.Before(h.coldUntil) {
		slowdown = coldSlowdown
	}
	return grayModel.FailChance(h.belief, now), slowdown, h.belief.IsNew()
}

// SetColdUntil records until when the server is slow after its start.
func (s *Server) SetColdUntil(t time.Time) {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.coldUntil = t
}

// chooseByLoss picks the server at which the request is expected to lose least, and counts the request there.
func (v *Service) chooseByLoss(now time.Time, n Need) (Placement, error) {
	request := jyplace.Request{Work: v.latency.workValue(n.Objective / unknownWork), Objective: n.Objective, IsRepeatable: n.IsRepeatable}
	i := jyplace.Choose(len(v.Servers), func(i int) jyplace.Candidate { return v.candidate(now, v.Servers[i], n) }, request, rand.Float64)
	if i == jyplace.None {
		return Placement{}, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
	}
	s := v.Servers[i]
	free := s.load(now) < s.Info.Slots
	s.inFlight.Add(1)
	if v.observer != nil {
		v.observer.Started(s)
	}
	return Placement{Server: s, HasSlot: free}, nil
}

func (v *Service) candidate(now time.Time, s *Server, n Need) jyplace.Candidate {
	c := jyplace.Candidate{InFlight: float64(s.load(now)), Slots: s.Info.Slots}
	c.IsExcluded = n.excludes(s) || s.IsDraining(now) || s.InFlight() >= queueFactor*s.Info.Slots
	if c.IsExcluded {
		return c
	}
	c.FailChance, c.Slowdown, c.IsNew = s.health.outlook(now)
	if s.isPassedOver(now) {
		c.FailChance = 1
	}
	if string(s.Info.DataCentre) != v.dataCentre {
		c.Distance = remoteDistance
		c.IsNew = false
	}
	return c
}

// load returns the requests that all instances have at the server, as far as known here.
func (s *Server) load(now time.Time) int { return s.InFlight() + s.hearsay.others(now) }

func (n Need) excludes(s *Server) bool {
	for _, x := range n.Exclude {
		if x == s {
			return true
		}
	}
	return false
}
