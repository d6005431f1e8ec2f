package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// FailChance returns what is believed of the server now.
func (s *Server) FailChance(now time.Time) float64 {
	return s.health.prospect(now).failChance
}

// ApplyPeerReport takes a report of another instance about the server.
func (v *Service) ApplyPeerReport(s *Server, h PeerReport) {
	s.hear(time.Now(), Reporter{Name: "peer", Boot: 1, Sequence: 1}, h)
}

// OneEarlyFailure is one early failure.
func OneEarlyFailure() (c jybelief.Counts) {
	c[jybelief.FailedEarly] = 1
	return c
}

// WasUsedWithin reports whether the server got a request within the time before now.
func (v *Service) WasUsedWithin(s *Server, d time.Duration) bool {
	return time.Since(s.lastUsed()) <= d
}
