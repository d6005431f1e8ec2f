package jybackend

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// grayModel is how backend servers turn gray: for seconds at a time.
var grayModel = jybelief.Config{
	Onset:    0.05,
	Recovery: 0.12,
	Least:    0.001,
	Well:     jybelief.Likelihood{jybelief.Answered: 0.976, jybelief.FailedEarly: 0.0005, jybelief.FailedLate: 0.012, jybelief.Silent: 0.01},
	Gray:     jybelief.Likelihood{jybelief.Answered: 0.15, jybelief.FailedEarly: 0.55, jybelief.FailedLate: 0.2, jybelief.Silent: 0.1},
}

const (
	// remoteDistance is what a request to another data centre costs, as a share of its worth.
	remoteDistance = 0.025
	// coldSlowdown is how much longer a server works that has just started.
	coldSlowdown = 2
	// queueFactor bounds the requests of this instance at one server, as a multiple of its slots.
	queueFactor = 3
	// fullTime is how long a server that shed a request is taken to be full, and shedChance how likely it sheds others.
	fullTime   = 200 * time.Millisecond
	shedChance = 0.5
	// unknownWork is the part of the objective that work is taken for where no answer has come yet.
	unknownWork = 4
)

// health is what is believed of one server at this moment.
type health struct {
	mu        sync.Mutex
	belief    jybelief.Belief
	coldUntil time.Time
}

// observe takes an outcome and returns the chance of being gray before and after it.
func (h *health) observe(now time.Time, o jybelief.Outcome) (before, after float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = grayModel.GrayChance(h.belief, now)
	h.belief = grayModel.Observe(h.belief, now, o)
	return before, grayModel.GrayChance(h.belief, now)
}

// doubted is the chance of being gray from which on a server is shown as doubted.
const doubted = 0.5

// beliefLines bounds the log lines a second about changes of belief.
const beliefLines = 20

// Rounded returns a chance in thousandths, for the log.
func Rounded(chance float64) float64 { return math.Round(chance*1000) / 1000 }

// own is the source of what this instance saw itself.
const own = "own"

// observe takes an outcome, seen here or by the instance named as source, and logs where it changes what is believed.
func (s *Server) observe(now time.Time, o jybelief.Outcome, source string) {
	before, after := s.health.observe(now, o)
	switch {
	case before < doubted && after >= doubted:
		jylog.ServerDoubted.LogAtMost(beliefLines, s.Info.Service, s.Info.Name, Rounded(after), o, source)
	case before >= doubted && after < doubted:
		jylog.ServerTrusted.LogAtMost(beliefLines, s.Info.Service, s.Info.Name, Rounded(after), source)
	}
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

const (
	// earlyShare is the part of the usual time of work before which a failure is early.
	earlyShare = 0.3
)

// outcomeOf returns what the result of an attempt tells of the server, if anything.
func (v *Service) outcomeOf(r Result, latency time.Duration) (jybelief.Outcome, bool) {
	work := v.latency.workValue(0)
	switch r {
	case Answered:
		return jybelief.Answered, true
	case Failed:
		if float64(latency) < earlyShare*float64(work) {
			return jybelief.FailedEarly, true
		}
		return jybelief.FailedLate, true
	}
	return jybelief.Answered, false
}

// Work returns how long the service usually works on a request, or 0 where that is not known yet.
func (v *Service) Work() time.Duration { return v.latency.workValue(0) }

// PatienceFor returns how long an answer may take before its absence tells something, or 0 where that is not known yet:
// nearly all answers of a well server come sooner.
func (v *Service) PatienceFor(p Placement) time.Duration {
	usual := v.latency.usual()
	if usual == 0 {
		return 0
	}
	ahead := max(0, p.Load+1-p.Server.Info.Slots)
	return 2*usual + 2*v.latency.workValue(0)*time.Duration(ahead)/time.Duration(p.Server.Info.Slots)
}

// NoteSilence records that an answer is overdue.
func (v *Service) NoteSilence(s *Server) {
	s.observe(time.Now(), jybelief.Silent, own)
	if v.observer != nil {
		v.observer.Ended(s, jybelief.Silent, true)
	}
}

// MarkFull records that the server shed a request.
func (s *Server) MarkFull(now time.Time) { s.full.Store(now.Add(fullTime).UnixNano()) }

func (s *Server) isFull(now time.Time) bool { return now.UnixNano() < s.full.Load() }

// SetColdUntil records until when the server is slow after its start.
func (s *Server) SetColdUntil(t time.Time) {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.coldUntil = t
}

// chooseByLoss picks the server at which the request is expected to lose least, and counts the request there.
func (v *Service) chooseByLoss(now time.Time, n Need) (Placement, error) {
	request := jyplace.Request{Work: v.latency.workValue(n.Objective / unknownWork), Objective: n.Objective, IsRepeatable: n.IsRepeatable}
	cover, lacking := v.cover(now)
	i := jyplace.Choose(len(v.Servers), func(i int) jyplace.Candidate {
		c := v.candidate(now, v.Servers[i], n)
		c.IsDue = lacking && v.isNearby(v.Servers[i]) && c.FailChance <= cover.MaxFailChance && cover.IsDue(now, v.Servers[i].lastUsed())
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
	c := jyplace.Candidate{InFlight: float64(s.load(now)), Slots: s.Info.Slots}
	c.IsExcluded = n.excludes(s) || s.IsDraining(now) || s.InFlight() >= queueFactor*s.Info.Slots
	if c.IsExcluded {
		return c
	}
	c.FailChance, c.Slowdown, c.IsNew = s.health.outlook(now)
	c.IsNew = c.IsNew && s.used.Load() == 0
	if s.isPassedOver(now) {
		c.FailChance = 1
	}
	if s.isFull(now) {
		c.FailChance = max(c.FailChance, shedChance)
	}
	if !v.isNearby(s) {
		c.Distance = remoteDistance
		c.IsNew = false
	}
	return c
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
