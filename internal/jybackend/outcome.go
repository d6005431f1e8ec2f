package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

const (
	// earlyShare is the part of the usual time of work before which a failure is early.
	earlyShare = 0.3
	// patienceFactor is how many times the usual latency, and the wait for a slot, an answer may take before it is overdue.
	patienceFactor = 2
)

// outcomeOf returns what the result of an attempt tells of the server, if anything.
func (v *Service) outcomeOf(r Result, latency time.Duration) (jybelief.Outcome, bool) {
	switch r {
	case Answered:
		return jybelief.Answered, true
	case Failed:
		if float64(latency) < earlyShare*float64(v.ServiceTime()) {
			return jybelief.FailedEarly, true
		}
		return jybelief.FailedLate, true
	case Unreached:
		// It weighs as little as a failure that may be the request's own, until other instances fail there too.
		return jybelief.FailedLate, true
	}
	return jybelief.Answered, false
}

// ServiceTime returns how long the service usually works on a request, or 0 where that is not known yet.
func (v *Service) ServiceTime() time.Duration { return v.latency.workValue(0) }

// OverdueAfter returns how long an answer may take before its absence tells something, or 0 where that is not known yet:
// nearly all answers of a well server come sooner.
func (v *Service) OverdueAfter(p Placement) time.Duration {
	usual := v.latency.usual()
	if usual == 0 {
		return 0
	}
	ahead := max(0, p.Load+1-p.Server.Info.Slots)
	wait := v.ServiceTime() * time.Duration(ahead) / time.Duration(p.Server.Info.Slots)
	slowdown := p.Server.health.prospect(time.Now()).slowdown
	return time.Duration(patienceFactor * slowdown * float64(usual+wait))
}

// RecordOverdue records that an answer is overdue.
func (v *Service) RecordOverdue(s *Server) {
	now := time.Now()
	s.observe(now, now, jybelief.Silent, own)
	if v.observer != nil {
		v.observer.Ended(s, jybelief.Silent, true)
	}
}
