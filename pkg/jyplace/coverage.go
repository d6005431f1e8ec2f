package jyplace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CoverageConfig sets up a Coverage.
type CoverageConfig struct {
	// DegradedFailShare is the share of failed requests above which a service is in trouble.
	DegradedFailShare float64
	// MinFailures is the number of failures below which a service is not in trouble.
	MinFailures float64
	// Normal and Trouble say how many servers must be in use below and above that share.
	Normal   CoverageRule
	Degraded CoverageRule
	// DecayTime is how long an outcome counts, on average.
	DecayTime time.Duration
}

const (
	// lately leaves time to reach a server before it has got nothing for two seconds.
	lately           = 1750 * time.Millisecond
	latelyRepeatable = 1400 * time.Millisecond
	// failureRest leaves time to reach a server within two seconds from the moment at which its last failure is past.
	failureRest = 3600 * time.Millisecond
	// troubleHaste leaves time for a second try while many requests fail.
	troubleHaste = 250 * time.Millisecond
)

// DefaultCoverage returns a coverage that keeps at least the floor, a share of the servers of a service, in use.
func DefaultCoverage(floor float64) CoverageConfig {
	calm := CoverageRule{Floor: floor, ActiveShare: 1, ActiveWindow: lately, RetryableActiveWindow: latelyRepeatable, FailureBackoff: failureRest}
	trouble := calm
	trouble.ActiveWindow -= troubleHaste
	trouble.RetryableActiveWindow -= troubleHaste
	trouble.FailureBackoff -= troubleHaste
	return CoverageConfig{DegradedFailShare: 0.07, MinFailures: 4, DecayTime: 1500 * time.Millisecond, Normal: calm, Degraded: trouble}
}

// CoverageRule is how many servers of a service must have got a request lately, whatever is believed of them.
type CoverageRule struct {
	// Floor is the least share of the servers, those that rest after a failure included.
	Floor float64
	// ActiveShare is the least share of the servers that do not rest after a failure.
	ActiveShare float64
	// ActiveWindow is how long ago a request may have been sent to a server that counts as in use; LatelyRepeatable is less, so that
	// requests that may be repeated are the first to try a server.
	ActiveWindow          time.Duration
	RetryableActiveWindow time.Duration
	// FailureBackoff is how long a server is left alone that has failed the last request it got.
	FailureBackoff time.Duration
}

// Coverage answers servers that are avoided for longer than they fail: it bounds how many of a service's servers get no
// requests, more strictly while the service fails many. It is not safe for concurrent use.
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
		keep := math.Exp(-passed.Seconds() / c.config.DecayTime.Seconds())
		c.answered *= keep
		c.failed *= keep
	}
	c.at = now
}

// UnservedShare returns the share of failures among the requests that were observed of late, 0 where there were none.
func (c *Coverage) UnservedShare(now time.Time) float64 {
	c.fade(now)
	if c.failed == 0 {
		return 0
	}
	return c.failed / (c.failed + c.answered)
}

// RuleAt returns how many servers must be in use now.
func (c *Coverage) RuleAt(now time.Time) CoverageRule {
	if share := c.UnservedShare(now); c.failed >= c.config.MinFailures && share > c.config.DegradedFailShare {
		return c.config.Degraded
	}
	return c.config.Normal
}

// IsIdle reports whether a server that got its last request then is not in use, in the eyes of a request.
func (c CoverageRule) IsIdle(now, last time.Time, isRepeatable bool) bool {
	if isRepeatable {
		return now.Sub(last) > c.RetryableActiveWindow
	}
	return now.Sub(last) > c.ActiveWindow
}

// IsInBackoff reports whether a server is left alone: it failed the last request that it got, and did so just now.
func (c CoverageRule) IsInBackoff(now, last, failed time.Time) bool {
	return !failed.Before(last) && now.Sub(failed) <= c.FailureBackoff
}

// MaxIdleOutsideBackoff returns how many servers of the group own may be idle without a failure, given the number of servers in each group:
// the groups divide what the service as a whole may spare, so that each can decide for itself.
func (c CoverageRule) MaxIdleOutsideBackoff(groups []int, own int) int {
	total := sum(groups)
	spare := int(math.Round((1 - c.ActiveShare) * float64(total)))
	return divide(min(spare, c.spareAtFloor(total)), groups)[own]
}

// MaxIdle returns how many servers of the group own may be idle in all, where some of them rest after a failure.
func (c CoverageRule) MaxIdle(resting int, groups []int, own int) int {
	most := divide(c.spareAtFloor(sum(groups)), groups)[own]
	return min(most, resting+c.MaxIdleOutsideBackoff(groups, own))
}

func (c CoverageRule) spareAtFloor(total int) int {
	return int(math.Floor((1-c.Floor)*float64(total) + epsilon))
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// epsilon is what a product of shares may be off by rounding.
const epsilon = 1e-9

// divide divides spare in proportion to the groups; what is left over goes to those that lost most by rounding, the first
// ones first.
func divide(spare int, groups []int) []int {
	out := make([]int, len(groups))
	total := sum(groups)
	if total == 0 {
		return out
	}
	order := make([]int, len(groups))
	left := spare
	for i, n := range groups {
		out[i], order[i] = spare*n/total, i
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(spare*groups[b]%total, spare*groups[a]%total) })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// IdleServer is a server that is not in use.
type IdleServer struct {
	Index      int
	FailChance float64
	// IsInBackoff marks a server that is left alone since it failed the last request it got.
	IsInBackoff bool
}

// DueTrials returns the idle servers of the group own that a request must try before all others.
func (c CoverageRule) DueTrials(idle []IdleServer, groups []int, own int) []IdleServer {
	resting := 0
	for _, x := range idle {
		if x.IsInBackoff {
			resting++
		}
	}
	return SelectDueTrials(idle, c.MaxIdle(resting, groups, own))
}

// SelectDueTrials returns all idle servers but as many as may be idle: first those that rest after a failure are left out, then the most
// doubtful others.
func SelectDueTrials(idle []IdleServer, mayBeIdle int) []IdleServer {
	if len(idle) <= mayBeIdle {
		return nil
	}
	slices.SortFunc(idle, func(a, b IdleServer) int {
		return cmp.Or(compareBool(a.IsInBackoff, b.IsInBackoff), cmp.Compare(a.FailChance, b.FailChance), cmp.Compare(a.Index, b.Index))
	})
	return idle[:len(idle)-mayBeIdle]
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
