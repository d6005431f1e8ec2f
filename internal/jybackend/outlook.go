package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// ServerEstimate is what this instance believes of a backend server.
type ServerEstimate struct {
	Server jynote.ServerName
	// GrayChance is the chance that the server fails what it is sent.
	GrayChance float64
	// Load is the number of requests that the server holds, of all instances as far as known.
	Load int
	// IdleTime is how long no instance is known to have sent it a request; it is 0 where none ever did.
	IdleTime time.Duration
	// IsLikelyGray says that the server is likelier gray than well.
	IsLikelyGray bool
}

// Estimates returns what is believed of the servers now; there is nothing where they are not chosen by expected loss.
func (v *Service) Estimates(now time.Time) []ServerEstimate {
	if !v.byLoss {
		return nil
	}
	out := make([]ServerEstimate, 0, len(v.Servers))
	for _, s := range v.Servers {
		o := ServerEstimate{Server: s.Info.Name, Load: s.load(now)}
		o.GrayChance = s.health.gray(now)
		o.IsLikelyGray = o.GrayChance >= doubted
		if s.used.Load() > 0 {
			o.IdleTime = now.Sub(s.lastUsed())
		}
		out = append(out, o)
	}
	return out
}

// RetriesLeft returns the number of retries that the service's budget allows at once.
func (v *Service) RetriesLeft(now time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shareSlack()
	return v.budget.Available(now)
}
