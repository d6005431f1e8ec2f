package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// ServerEstimate is the state of a backend server as this instance estimates it.
type ServerEstimate struct {
	Server jynote.ServerName
	// GrayChance is the chance, from 0 to 1, that the server is gray.
	GrayChance float64
	// Load is the number of requests of all instances at the server, as far as known.
	Load int
	// IdleTime is the time since any instance sent the server a request, as far as known; 0 if none ever did.
	IdleTime time.Duration
	// IsLikelyGray says that the server is at least as likely gray as healthy.
	IsLikelyGray bool
}

// Estimates returns the estimates for all servers, or nil if servers are not chosen by expected loss.
func (v *Service) Estimates(now time.Time) []ServerEstimate {
	if !v.byExpectedLoss {
		return nil
	}
	out := make([]ServerEstimate, 0, len(v.Servers))
	for _, s := range v.Servers {
		e := ServerEstimate{Server: s.Info.Name, Load: s.load(now)}
		e.GrayChance = s.health.grayChance(now)
		e.IsLikelyGray = e.GrayChance >= likelyGrayChance
		if s.lastRequestNanos.Load() > 0 {
			e.IdleTime = now.Sub(s.lastRequestAt())
		}
		out = append(out, e)
	}
	return out
}

// RetriesLeft returns the number of retries, which may be fractional, that the service's budget allows now.
func (v *Service) RetriesLeft(now time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateSlack()
	return v.retryBudget.Available(now)
}
