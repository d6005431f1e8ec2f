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
var grayModel = jybelief.Config{Onset: 0.15, Recovery: 0.35, FailWell: 0.012, FailGray: 0.9}

const (
	// remoteDistance is what a request to another data centre costs, as a share of its worth.
	remoteDistance = 0.025
	// coldSlowdown is how much longer a server works that has just started.
	coldSlowdown = 2
	// queueFactor bounds the requests of this instance at one server, as a multiple of its slots.
	queueFactor = 3
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
func (h *health) outlook(now time.Time) (failChance, slowdown float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	slowdown = 1
	if now.Before(h.coldUntil) {
		slowdown = coldSlowdown
	}
	return grayModel.FailChance(h.belief, now), slowdown
}

// SetColdUntil records until when the server is slow after its start.
func (s *Server) SetColdUntil(t time.Time) {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.coldUntil = t
}

// chooseByLoss picks the server at which the request is expected to lose least, and counts the request there.
func (v *Service) chooseByLoss(now time.Time, n Need) (*Server, error) {
	request := jyplace.Request{Work: v.latency.middleValue(), Objective: n.Objective}
	i := jyplace.Choose(len(v.Servers), func(i int) jyplace.Candidate { return v.candidate(now, v.Servers[i], n) }, request, rand.Float64)
	if i == jyplace.None {
		return nil, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
	}
	s := v.Servers[i]
	s.inFlight.Add(1)
	return s, nil
}

func (v *Service) candidate(now time.Time, s *Server, n Need) jyplace.Candidate {
	c := jyplace.Candidate{InFlight: float64(s.InFlight()), Slots: s.Info.Slots}
	c.IsExcluded = n.excludes(s) || s.IsDraining(now) || s.InFlight() >= queueFactor*s.Info.Slots
	if c.IsExcluded {
		return c
	}
	c.FailChance, c.Slowdown = s.health.outlook(now)
	if s.isPassedOver(now) {
		c.FailChance = 1
	}
	if string(s.Info.DataCentre) != v.dataCentre {
		c.Distance = remoteDistance
	}
	return c
}

func (n Need) excludes(s *Server) bool {
	for _, x := range n.Exclude {
		if x == s {
			return true
		}
	}
	return false
}
