package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

const (
	// earlyShare is the share of the service time before which a failure counts as early.
	earlyShare = 0.3
	// overdueFactor is the multiple of the usual latency plus the wait for a slot at which an answer becomes overdue.
	overdueFactor = 2
)

// outcomeOf returns the outcome for the result of an attempt. The second value is false if it is no evidence about the server.
func (v *Service) outcomeOf(r Result, latency time.Duration) (jybelief.Outcome, bool) {
	switch r {
	case Answered:
		return jybelief.Answered, true
	case Failed:
		if float64(latency) < earlyShare*float64(v.ServiceTime()) {
			return jybelief.FailedEarly, true
		}
		return jybelief.FailedLate, true
	}
	// Unreached is recorded as evidence once it is known that the path to the other servers works; see Service.RecordOpened.
	return jybelief.Answered, false
}

// ServiceTime returns the mean latency of recent answers that did not wait for a slot, or 0 before the first one.
func (v *Service) ServiceTime() time.Duration { return v.latency.serviceTimeOr(0) }

// OverdueAfter returns the time after which an answer is overdue, or 0 if that is not known yet. Nearly all answers of a healthy
// server arrive sooner, so an overdue one is evidence that the server is gray.
func (v *Service) OverdueAfter(p Placement) time.Duration {
	usual := v.latency.usualLatency()
	if usual == 0 {
		return 0
	}
	ahead := max(0, p.Load+1-p.Server.Info.Slots)
	wait := v.ServiceTime() * time.Duration(ahead) / time.Duration(p.Server.Info.Slots)
	slowdown := p.Server.health.failureEstimate(time.Now()).slowdown
	return time.Duration(overdueFactor * slowdown * float64(usual+wait))
}

// RecordOverdue records that an answer of the server is overdue, unless the path to all servers is lost. RecordAttempt must still follow.
func (v *Service) RecordOverdue(s *Server) {
	if v.isPathLost() {
		return
	}
	now := time.Now()
	s.observe(now, now, jybelief.Silent, localSource)
	if v.observer != nil {
		v.observer.Ended(s, jybelief.Silent, true)
	}
}
