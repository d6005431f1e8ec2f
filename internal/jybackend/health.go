package jybackend

import (
	"math"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// grayModel is how backend servers turn gray.
var grayModel = jybelief.DefaultConfig()

const (
	// doubted is the chance of being gray from which on a server is shown as doubted.
	doubted = 0.5
	// beliefLines bounds the log lines a second about changes of belief.
	beliefLines = 20
	// own is the source of what this instance saw itself.
	own = "own"
	// coldSlowdown is how much longer a server works that has just started.
	coldSlowdown = 2
)

// health is what is believed of one server at this moment.
type health struct {
	mu        sync.Mutex
	belief    jybelief.Belief
	coldUntil time.Time
}

// observe takes the outcome of a request and returns the chance of being gray before and after it.
func (h *health) observe(sent, now time.Time, o jybelief.Outcome) (before, after float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = grayModel.GrayChance(h.belief, now)
	h.belief = grayModel.Observe(h.belief, sent, now, o)
	return before, grayModel.GrayChance(h.belief, now)
}

// isOverruled reports whether an answer to a request sent then tells nothing any more.
func (h *health) isOverruled(sent time.Time, o jybelief.Outcome) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.belief.IgnoresOutcome(sent, o)
}

// adopt takes what others believe, unless an outcome was observed here just now.
func (h *health) adopt(now time.Time, gray float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.belief.IsUnobserved() || h.belief.Age(now) > freshOutcome {
		h.belief = h.belief.WithGrayChance(now, gray)
	}
}

// gray returns the chance of being gray.
func (h *health) gray(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return grayModel.GrayChance(h.belief, now)
}

// isNew reports whether nothing was ever observed or heard.
func (h *health) isNew() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.belief.IsUnobserved()
}

// setColdUntil records until when the server is slow after its start.
func (h *health) setColdUntil(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldUntil = t
}

// RoundToThousandths returns a chance in thousandths, for the log.
func RoundToThousandths(chance float64) float64 { return math.Round(chance*1000) / 1000 }

// observe takes the outcome of a request, seen here or by the instance named as source, and logs where it changes what is believed.
func (s *Server) observe(sent, now time.Time, o jybelief.Outcome, source string) {
	before, after := s.health.observe(sent, now, o)
	switch {
	case before < doubted && after >= doubted:
		jylog.ServerDoubted.LogAtMost(beliefLines, s.Info.Service, s.Info.Name, RoundToThousandths(after), o, source)
	case before >= doubted && after < doubted:
		jylog.ServerTrusted.LogAtMost(beliefLines, s.Info.Service, s.Info.Name, RoundToThousandths(after), source)
	}
}

// prospect is what a request sent now can expect of a server.
type prospect struct {
	failChance float64
	slowdown   float64 // how many times longer than usual the server works
	isNew      bool    // nothing was ever observed or heard
	// failed is when it last failed a request at once or left one overdue, or the zero time.
	failed time.Time
}

func (h *health) prospect(now time.Time) prospect {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := prospect{failChance: grayModel.FailChance(h.belief, now), slowdown: 1, isNew: h.belief.IsUnobserved(), failed: h.belief.LastFailure()}
	if now.Before(h.coldUntil) {
		out.slowdown = coldSlowdown
	}
	return out
}

// SetColdUntil records until when the server is slow after its start.
func (s *Server) SetColdUntil(t time.Time) { s.health.setColdUntil(t) }
