package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// FailChance returns the estimated chance that the server fails a request now.
func (s *Server) FailChance(now time.Time) float64 {
	return s.health.failureEstimate(now).failChance
}

// ApplyPeerReport applies a report of another instance about the server.
func (v *Service) ApplyPeerReport(s *Server, report PeerReport) {
	s.applyPeerReport(time.Now(), Reporter{Name: "peer", Boot: 1, Sequence: 1}, report)
}

// OneEarlyFailure returns the counts of one early failure.
func OneEarlyFailure() (c jybelief.Counts) {
	c[jybelief.FailedEarly] = 1
	return c
}

// WasUsedWithin reports whether the server got a request within the last d.
func (v *Service) WasUsedWithin(s *Server, d time.Duration) bool {
	return time.Since(s.lastRequestAt()) <= d
}
