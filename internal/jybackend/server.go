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
	Info    jynote.BackendServer
	Pool    *Pool
	addedAt time.Time // when this instance added it
	// trialLead is how much earlier than the coverage rule says this instance counts the server as idle.
	trialLead        time.Duration
	inFlight         atomic.Int32
	attempts         atomic.Uint64
	failures         atomic.Uint64
	slowAnswers      atomic.Uint64
	notice           *notice
	shareOf          ShareFunc
	consecutiveLost  atomic.Int32 // connections lost since the last answer
	skippedUntil     atomic.Int64 // until when it is skipped as unreachable, in nanoseconds since the epoch
	health           health
	fullUntil        atomic.Int64 // until when it is assumed to be full, in nanoseconds since the epoch
	lastRequestNanos atomic.Int64 // when any instance last sent it a request, in nanoseconds since the epoch
	peerLoads        peerLoads
	sends            sendCounters
}

// RecordConnectionLost records that a connection to the server was lost or could not be opened. The server is skipped as
// unreachable for a time that grows with each such failure since the last answer.
func (s *Server) RecordConnectionLost(now time.Time) {
	s.skippedUntil.Store(now.Add(jyretry.Backoff(int(s.consecutiveLost.Add(1)))).UnixNano())
}

// isSkippedUnreachable reports whether other servers are preferred because connections to this one were lost.
func (s *Server) isSkippedUnreachable(now time.Time) bool {
	return s.consecutiveLost.Load() > 0 && now.UnixNano() < s.skippedUntil.Load()
}

// Counts returns the numbers of attempts that ended since this instance added the server, without the neutral ones.
func (s *Server) Counts() jydetector.Counts {
	// Attempts are read last and written first, so that they are never less than the failures or the slow answers.
	slow, failures := s.slowAnswers.Load(), s.failures.Load()
	return jydetector.Counts{Attempts: s.attempts.Load(), Failures: failures, Slow: slow}
}

// MarkDraining records that the server stated that it is draining. It returns true if the server did not count as draining
// before.
func (s *Server) MarkDraining(now time.Time) bool {
	wasDraining := s.IsDraining(now)
	s.notice.drainingUntil.Store(now.Add(jydetector.DefaultDrainingTimeout).UnixNano())
	return !wasDraining
}

// Pause stops this instance's requests to the server for d, as the server asked. A running pause that ends later is kept.
func (s *Server) Pause(now time.Time, d time.Duration) {
	until := now.Add(d).UnixNano()
	if until <= s.notice.pausedUntil.Load() {
		return
	}
	s.notice.pausedUntil.Store(until)
	jylog.ServerPauseRequested.LogAtMost(maxPauseLogLines, s.Info.Service, s.Info.Name, d.Milliseconds())
}

// maxPauseLogLines is the maximum number of log lines per second about paused servers.
const maxPauseLogLines = 5

// PauseRemaining returns for how much longer the server wants no requests from this instance, or 0.
func (s *Server) PauseRemaining(now time.Time) time.Duration { return s.notice.pauseRemaining(now) }

// takesRequests reports whether this instance may send the server a request: it is neither draining nor paused, and this
// instance's share of its limit is not used up.
func (s *Server) takesRequests(now time.Time) bool {
	return !s.IsDraining(now) && s.PauseRemaining(now) == 0 && s.hasQuota(now)
}

// IsDraining reports whether the server stated recently that it is draining. The statement expires after
// jydetector.DefaultDrainingTimeout, since the server may be started again under its name.
func (s *Server) IsDraining(now time.Time) bool { return s.notice.isDraining(now) }

// InFlight returns the number of this instance's requests at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Result is how an attempt ended, as far as that concerns the backend server.
type Result string

// The results of an attempt.
const (
	// Answered is a complete answer that is not a server error.
	Answered Result = "Answered"
	// Failed is a failure of the server.
	Failed Result = "Failed"
	// Unreached is an attempt without a connection: the server is unavailable, or only the path from this instance to it. It must be
	// recorded by RecordUnopened too.
	Unreached Result = "Unreached"
	// TimedOut is no answer within the deadline. The deadline may have been too short, so this is a failure but no evidence that
	// the server is gray.
	TimedOut Result = "TimedOut"
	// Neutral is a result that says nothing about the server, for example because the caller cancelled the request or the
	// server shed it.
	Neutral Result = "Neutral"
)

// Observer is notified of requests at servers. Its methods may be called concurrently.
type Observer interface {
	// Started is called when the server is chosen for a request by expected loss.
	Started(s *Server)
	// Ended is called when a request ended or its answer became overdue. The outcome counts only if isEvidence is true.
	Ended(s *Server, o jybelief.Outcome, isEvidence bool)
	// LimitChanged is called when an answer to this instance changed what is known about the server's limit.
	LimitChanged(s *Server)
	// Unserved is called when a request ended without being served, and this server was the last one tried.
	Unserved(s *Server)
}

// Hash identifies the server in signals between instances.
func (s *Server) Hash() uint64 { return xxhash.Sum64String(string(s.Info.Name)) }

// RecordAttempt records how an attempt ended and reports whether it was a failure. latency is the time that the attempt took.
// The caller must also call Server.Release.
func (v *Service) RecordAttempt(p Placement, r Result, latency time.Duration) bool {
	s := p.Server
	outcome, isEvidence := v.outcomeOf(r, latency)
	now := time.Now()
	if r == Answered {
		v.coverage.observeLocal(now, RequestCounts{Served: 1})
	}
	// A late answer counts even if it was recorded as overdue before: it offsets that, since the server is slow, not gray.
	sent := now.Add(-latency)
	isEvidence = isEvidence && !s.health.ignoresOutcome(sent, outcome) && (r == Answered || !v.isPathLost())
	if isEvidence {
		s.observe(sent, now, outcome, localSource)
	}
	if v.observer != nil {
		v.observer.Ended(s, outcome, isEvidence)
	}
	switch r {
	case Failed, TimedOut, Unreached:
		s.attempts.Add(1)
		s.failures.Add(1)
		return true
	case Answered:
		v.recordAnswer(p, latency)
	}
	return false
}

// recordAnswer records an attempt with the result Answered.
func (v *Service) recordAnswer(p Placement, latency time.Duration) {
	v.recordAccepted(time.Now(), p)
	p.Server.consecutiveLost.Store(0)
	p.Server.attempts.Add(1)
	if p.hasSlot() {
		v.latency.addServiceTime(latency)
	}
	if v.latency.add(latency) {
		p.Server.slowAnswers.Add(1)
	}
}
