package jyplace

import (
	"math"
	"time"
)

// CoverageConfig sets up a Coverage.
type CoverageConfig struct {
	// FailShare is the share of failed requests above which the servers of a service must be covered.
	FailShare float64
	// MinFailures is the number of failures below which a service is not in trouble.
	MinFailures float64
	// Calm and Trouble say what is to be covered below and above that share.
	Calm    Cover
	Trouble Cover
	// Memory is how long an outcome counts, on average.
	Memory time.Duration
}

// DefaultCoverage returns a coverage that keeps the servers of a service in use while it fails about one request in twelve.
func DefaultCoverage() CoverageConfig {
	return CoverageConfig{
		FailShare:   0.085,
		MinFailures: 4,
		Calm:        Cover{Share: 0.8, Lately: 1600 * time.Millisecond, MaxFailChance: 0.46},
		Trouble: Cover{
			Share: 1, Lately: 1200 * time.Millisecond, MaxFailChance: 0.5,
			Doubted: 3 * time.Second, DoubtedRepeatable: 2 * time.Second,
		},
		Memory: 1500 * time.Millisecond,
	}
}

// Cover is how many servers of a service must have got a request lately.
type Cover struct {
	Share float64
	// Lately is how long ago a request may have been sent to a server that counts as covered.
	Lately time.Duration
	// MaxFailChance is the chance to fail above which a server is doubted.
	MaxFailChance float64
	// Doubted and DoubtedRepeatable are what Lately is for a doubted server, in the eyes of a request and of one that
	// may be repeated; 0 is never.
	Doubted           time.Duration
	DoubtedRepeatable time.Duration
}

// Coverage answers a service that fails many requests while some of its servers get none: those may be well by now. It is
// not safe for concurrent use.
type Coverage struct {
	config   CoverageConfig
	answered float64
	failed   float64
	at       time.Time
}

// NewCoverage returns a coverage that knows of no request.
func NewCoverage(c CoverageConfig) *Coverage { return &Coverage{config: c} }

// Observe counts requests that ended now.
func (c *Coverage) Observe(now time.Time, answered, failed uint32) {
	c.fade(now)
	c.answered += float64(answered)
	c.failed += float64(failed)
}

func (c *Coverage) fade(now time.Time) {
	if passed := now.Sub(c.at); !c.at.IsZero() && passed > 0 {
		keep := math.Exp(-passed.Seconds() / c.config.Memory.Seconds())
		c.answered *= keep
		c.failed *= keep
	}
	c.at = now
}

// UnservedShare returns the share of the requests of late that were not served, 0 where there were none.
func (c *Coverage) UnservedShare(now time.Time) float64 {
	c.fade(now)
	if c.failed == 0 {
		return 0
	}
	return c.failed / (c.failed + c.answered)
}

// Now returns what is to be covered now.
func (c *Coverage) Now(now time.Time) Cover {
	c.fade(now)
	if c.failed >= c.config.MinFailures && c.failed > c.config.FailShare*(c.failed+c.answered) {
		return c.config.Trouble
	}
	return c.config.Calm
}

// Lacks reports whether too few of the servers, given when each last got a request, are covered.
func (c Cover) Lacks(now time.Time, last []time.Time) bool {
	covered := 0
	for _, t := range last {
		if now.Sub(t) <= c.Lately {
			covered++
		}
	}
	return float64(covered) < c.Share*float64(len(last))
}

// IsDue reports whether a request must try a server that got its last one then, and fails with this chance.
func (c Cover) IsDue(now, last time.Time, failChance float64, isRepeatable bool) bool {
	lately := c.Lately
	if failChance > c.MaxFailChance {
		lately = c.Doubted
		if isRepeatable {
			lately = c.DoubtedRepeatable
		}
	}
	return lately > 0 && now.Sub(last) > lately
}
