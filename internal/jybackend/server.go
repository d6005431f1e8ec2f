package jybackend

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
)

// Server is this instance's view of one backend server.
type Server struct {
	Info jynote.BackendServer
	Pool *Pool
	seen time.Time // when it came into force here
	// lead is how much sooner than the last instance this one tries the server once it is idle.
	lead     time.Duration
	inFlight atomic.Int32
	attempts atomic.Uint64
	failures atomic.Uint64
	slow     atomic.Uint64
	said     *notice
	lost     atomic.Int32 // connections lost in a row
	passOver atomic.Int64 // until when others are preferred, in nanoseconds since the epoch
	health   health
	full     atomic.Int64 // until when it is taken to be full, in nanoseconds since the epoch
	used     atomic.Int64 // when a request was last sent to it, in nanoseconds since the epoch
	hearsay  hearsay
}

// RecordConnectionLost makes this instance prefer other servers for a while, which grows while connections go on being lost.
func (s *Server) RecordConnectionLost(now time.Time) {
	s.passOver.Store(now.Add(jyretry.Backoff(int(s.lost.Add(1)))).UnixNano())
}

// isPassedOver reports whether others are preferred.
func (s *Server) isPassedOver(now time.Time) bool {
	return s.lost.Load() > 0 && now.UnixNano() < s.passOver.Load()
}

// Counts returns the cumulative counts of finished attempts.
func (s *Server) Counts() jydetector.Counts {
	// Attempts are read last and written first, so that the parts never exceed them.
	slow, failures := s.slow.Load(), s.failures.Load()
	return jydetector.Counts{Attempts: s.attempts.Load(), Failures: failures, Slow: slow}
}

// MarkDraining records that the server said it is leaving, and reports whether that is news.
func (s *Server) MarkDraining(now time.Time) bool {
	known := s.IsDraining(now)
	s.said.leaves.Store(now.Add(jydetector.DefaultDrainingTimeout).UnixNano())
	return !known
}

// Pause keeps this instance's requests from the server for a while, as it asked for; a shorter wish does not end a longer one.
func (s *Server) Pause(now time.Time, d time.Duration) {
	until := now.Add(d).UnixNano()
	if until <= s.said.paused.Load() {
		return
	}
	s.said.paused.Store(until)
	jylog.ServerPaused.LogAtMost(pauseLines, s.Info.Service, s.Info.Name, d.Milliseconds())
}

// pauseLines bounds the log lines a second about paused servers.
const pauseLines = 5

// PauseRemaining returns how much longer the server wants no requests from this instance, or 0.
func (s *Server) PauseRemaining(now time.Time) time.Duration { return s.said.pausedFor(now) }

// isClosed reports whether the server must get no request from this instance.
func (s *Server) isClosed(now time.Time) bool { return s.IsDraining(now) || s.PauseRemaining(now) > 0 }

// IsDraining reports whether the server said lately that it is leaving; it may have started anew since.
func (s *Server) IsDraining(now time.Time) bool { return s.said.isLeaving(now) }

// InFlight returns the requests of this instance that the server runs.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Result is what an attempt says about its backend server.
type Result string

// The results of an attempt.
const (
	Answered Result = "Answered"
	Failed   Result = "Failed"
	// Unreached is a connection that nothing answered: the server may be away, or the way to it from this instance alone.
	Unreached Result = "Unreached"
	// TimedOut is no answer within the deadline, which may have been short.
	TimedOut Result = "TimedOut"
	// Neutral results say nothing: the caller cancelled, or the server shed load by its own word.
	Neutral Result = "Neutral"
)

// Observer is told of each request at a server.
type Observer interface {
	Started(s *Server)
	// Ended tells what the request's end says of the server; tells is false where it says nothing.
	Ended(s *Server, o jybelief.Outcome, tells bool)
	// Unserved tells that a request ended without being served, last at this server.
	Unserved(s *Server)
}

// Hash identifies the server in signals between instances.
func (s *Server) Hash() uint64 { return xxhash.Sum64String(string(s.Info.Name)) }

// RecordAttempt counts a finished attempt and reports whether it was a failure.
func (v *Service) RecordAttempt(p Placement, r Result, latency time.Duration) bool {
	s := p.Server
	outcome, tells := v.outcomeOf(r, latency)
	now := time.Now()
	if r == Answered {
		v.coverage.observe(now, RequestCounts{Served: 1})
	}
	// An answer that was overdue counts too: it takes back what its silence told, for the server is slow, not gray.
	sent := now.Add(-latency)
	tells = tells && !s.health.isOverruled(sent, outcome)
	if tells {
		s.observe(sent, now, outcome, own)
	}
	if v.observer != nil {
		v.observer.Ended(s, outcome, tells)
	}
	switch r {
	case Failed, TimedOut, Unreached:
		s.attempts.Add(1)
		s.failures.Add(1)
		return true
	case Answered:
		v.countAnswer(p, latency)
	}
	return false
}

func (v *Service) countAnswer(p Placement, latency time.Duration) {
	v.noteTaken(p)
	p.Server.lost.Store(0)
	p.Server.attempts.Add(1)
	if p.hasSlot() {
		v.latency.addWork(latency)
	}
	if v.latency.add(latency) {
		p.Server.slow.Add(1)
	}
}
