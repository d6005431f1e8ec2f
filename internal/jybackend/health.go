package jybackend

import (
	"math"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// grayModel is the model of how backend servers turn gray and recover.
var grayModel = jybelief.DefaultConfig()

const (
	// likelyGrayChance is the chance of being gray from which on a server counts as likely gray.
	likelyGrayChance = 0.5
	// maxBeliefLogLines is the maximum number of log lines per second about each kind of change of belief.
	maxBeliefLogLines = 20
	// localSource is the logged source of outcomes that this instance observed itself.
	localSource = "own"
	// coldSlowdown is the service time of a recently started server, as a multiple of the usual one.
	coldSlowdown = 2
)

// health holds the belief about one server and until when it is cold.
type health struct {
	mu        sync.Mutex
	belief    jybelief.Belief
	coldUntil time.Time
}

// observe records the outcome of a request and returns the chance of being gray before and after it.
func (h *health) observe(sent, now time.Time, o jybelief.Outcome) (before, after float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = grayModel.GrayChance(h.belief, now)
	h.belief = grayModel.Observe(h.belief, sent, now, o)
	return before, grayModel.GrayChance(h.belief, now)
}

// ignoresOutcome reports whether the outcome of a request that was sent at sent says nothing about the server now.
func (h *health) ignoresOutcome(sent time.Time, o jybelief.Outcome) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.belief.IgnoresOutcome(sent, o)
}

// applyRemoteChance sets the chance of being gray to that of another instance, unless the belief was updated within
// freshBeliefAge.
func (h *health) applyRemoteChance(now time.Time, gray float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.belief.IsUnobserved() || h.belief.Age(now) > freshBeliefAge {
		h.belief = h.belief.WithGrayChance(now, gray)
	}
}

// grayChance returns the chance, from 0 to 1, of being gray.
func (h *health) grayChance(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return grayModel.GrayChance(h.belief, now)
}

// isUnobserved reports whether nothing was ever observed or reported.
func (h *health) isUnobserved() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.belief.IsUnobserved()
}

// setColdUntil records until when the server is cold, which means slow after its start.
func (h *health) setColdUntil(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldUntil = t
}

// RoundToThousandths rounds a chance to three decimal places, for the log.
func RoundToThousandths(chance float64) float64 { return math.Round(chance*1000) / 1000 }

// observe records the outcome of a request, where source is localSource or the name of the instance that reported it. It logs
// when the server becomes likely gray and when it no longer is.
func (s *Server) observe(sent, now time.Time, o jybelief.Outcome, source string) {
	before, after := s.health.observe(sent, now, o)
	switch {
	case before < likelyGrayChance && after >= likelyGrayChance:
		jylog.ServerBelievedGray.LogAtMost(maxBeliefLogLines, s.Info.Service, s.Info.Name, RoundToThousandths(after), o, source)
	case before >= likelyGrayChance && after < likelyGrayChance:
		jylog.ServerBelievedHealthy.LogAtMost(maxBeliefLogLines, s.Info.Service, s.Info.Name, RoundToThousandths(after), source)
	}
}

// failureEstimate holds what is expected of a server for a request that is sent now.
type failureEstimate struct {
	failChance   float64
	slowdown     float64 // service time as a multiple of the usual one
	isUnobserved bool    // nothing was ever observed or reported
	// lastFailure is when a request last failed early or became overdue, or the zero time.
	lastFailure time.Time
}

func (h *health) failureEstimate(now time.Time) failureEstimate {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := failureEstimate{
		failChance: grayModel.FailChance(h.belief, now), slowdown: 1,
		isUnobserved: h.belief.IsUnobserved(), lastFailure: h.belief.LastFailure(),
	}
	if now.Before(h.coldUntil) {
		out.slowdown = coldSlowdown
	}
	return out
}

// SetColdUntil records until when the server is cold, which means slow after its start.
func (s *Server) SetColdUntil(t time.Time) { s.health.setColdUntil(t) }
