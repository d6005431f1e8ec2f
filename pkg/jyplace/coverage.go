package jyplace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CoverageConfig sets up a Coverage.
type CoverageConfig struct {
	// DegradedFailShare is the share of failed requests, from 0 to 1, above which a service is degraded.
	DegradedFailShare float64
	// MinFailures is the decayed number of failures below which a service is not degraded.
	MinFailures float64
	// Normal and Degraded are the rules that apply while the service is normal and while it is degraded.
	Normal   CoverageRule
	Degraded CoverageRule
	// DecayTime is the time constant with which the weight of an outcome decays.
	DecayTime time.Duration
}

const (
	// activeWindow leaves 0.25 s, and retryableActiveWindow 0.6 s, to send a request to a server before it has been without one
	// for 2 s.
	activeWindow          = 1750 * time.Millisecond
	retryableActiveWindow = 1400 * time.Millisecond
	// failureBackoff leaves 0.4 s to send a request to a failed server before it has been without one for 4 s: a server need
	// not get requests for 2 s after a failure, and must then get one within another 2 s.
	failureBackoff = 3600 * time.Millisecond
	// degradedReduction shortens the times above while many requests fail, so that there is time for a second attempt.
	degradedReduction = 250 * time.Millisecond
)

// DefaultCoverage returns a config that keeps active all servers that are not in back-off, and at least the share floor,
// from 0 to 1, of all servers.
func DefaultCoverage(floor float64) CoverageConfig {
	normal := CoverageRule{
		Floor: floor, ActiveShare: 1,
		ActiveWindow:          activeWindow,
		RetryableActiveWindow: retryableActiveWindow,
		FailureBackoff:        failureBackoff,
	}
	degraded := normal
	degraded.ActiveWindow -= degradedReduction
	degraded.RetryableActiveWindow -= degradedReduction
	degraded.FailureBackoff -= degradedReduction
	return CoverageConfig{DegradedFailShare: 0.07, MinFailures: 4, DecayTime: 1500 * time.Millisecond, Normal: normal, Degraded: degraded}
}

// CoverageRule says how many servers of a service must be active, which means that they got a request recently, however
// likely they are to fail. The other servers are idle.
type CoverageRule struct {
	// Floor is the minimum share, from 0 to 1, of active servers among all servers, including those in back-off.
	Floor float64
	// ActiveShare is the minimum share, from 0 to 1, of servers that are active or in back-off after a failure.
	ActiveShare float64
	// ActiveWindow is how long a server stays active after a request was sent to it. RetryableActiveWindow is the shorter
	// window that retryable requests apply, so that they are the first to try an idle server.
	ActiveWindow          time.Duration
	RetryableActiveWindow time.Duration
	// FailureBackoff is how long a server is in back-off after it failed the last request it got.
	FailureBackoff time.Duration
}

// Coverage limits how many servers of a service may be idle, and applies a stricter rule while the service is degraded.
// Without that limit, a server that recovered could stay without requests for long. It is not safe for concurrent use.
type Coverage struct {
	config    CoverageConfig
	answered  float64 // decayed numbers of requests, as of updatedAt
	failed    float64
	updatedAt time.Time
}

// NewCoverage returns a Coverage without any observed requests.
func NewCoverage(c CoverageConfig) *Coverage { return &Coverage{config: c} }

// Observe adds the numbers of requests that were answered and that failed at now.
func (c *Coverage) Observe(now time.Time, answered, failed uint32) {
	c.decay(now)
	c.answered += float64(answered)
	c.failed += float64(failed)
}

// decay reduces the numbers of requests to their weight at now.
func (c *Coverage) decay(now time.Time) {
	if elapsed := now.Sub(c.updatedAt); !c.updatedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / c.config.DecayTime.Seconds())
		c.answered *= factor
		c.failed *= factor
	}
	c.updatedAt = now
}

// UnservedShare returns the share of failed requests among the recently observed ones, or 0 if none failed.
func (c *Coverage) UnservedShare(now time.Time) float64 {
	c.decay(now)
	if c.failed == 0 {
		return 0
	}
	return c.failed / (c.failed + c.answered)
}

// RuleAt returns config.Degraded if at least MinFailures requests failed recently and their share is above DegradedFailShare,
// else config.Normal.
func (c *Coverage) RuleAt(now time.Time) CoverageRule {
	if share := c.UnservedShare(now); c.failed >= c.config.MinFailures && share > c.config.DegradedFailShare {
		return c.config.Degraded
	}
	return c.config.Normal
}

// IsIdle reports whether a server is idle for a request, where last is the time of the last request that the server got. For a
// retryable request it is idle sooner.
func (c CoverageRule) IsIdle(now, last time.Time, isRetryable bool) bool {
	if isRetryable {
		return now.Sub(last) > c.RetryableActiveWindow
	}
	return now.Sub(last) > c.ActiveWindow
}

// IsInBackoff reports whether a server is in back-off, where last is the time of the last request that it got, and failed that
// of its last failure: it failed at most FailureBackoff ago and got no request since.
func (c CoverageRule) IsInBackoff(now, last, failed time.Time) bool {
	return !failed.Before(last) && now.Sub(failed) <= c.FailureBackoff
}

// MaxIdleOutsideBackoff returns how many servers of the group with index local may be idle without being in back-off.
// groups holds the number of servers of each group. The number allowed for the whole service is divided among the groups,
// so that each group can decide without the others.
func (c CoverageRule) MaxIdleOutsideBackoff(groups []int, local int) int {
	total := sum(groups)
	allowed := int(math.Round((1 - c.ActiveShare) * float64(total)))
	return apportion(min(allowed, c.maxIdleAtFloor(total)), groups)[local]
}

// MaxIdle returns how many servers of the group with index local may be idle in all, given how many of them are in
// back-off.
func (c CoverageRule) MaxIdle(inBackoff int, groups []int, local int) int {
	limit := apportion(c.maxIdleAtFloor(sum(groups)), groups)[local]
	return min(limit, inBackoff+c.MaxIdleOutsideBackoff(groups, local))
}

// maxIdleAtFloor returns how many of total servers may be idle without falling below the floor.
func (c CoverageRule) maxIdleAtFloor(total int) int {
	return int(math.Floor((1-c.Floor)*float64(total) + roundingTolerance))
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// roundingTolerance bounds the rounding error of a share times a number of servers.
const roundingTolerance = 1e-9

// apportion divides amount in proportion to the groups by the largest remainder method; ties go to the first groups.
func apportion(amount int, groups []int) []int {
	out := make([]int, len(groups))
	total := sum(groups)
	if total == 0 {
		return out
	}
	order := make([]int, len(groups))
	left := amount
	for i, n := range groups {
		out[i], order[i] = amount*n/total, i
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(amount*groups[b]%total, amount*groups[a]%total) })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}

// IdleServer is a server that is not active.
type IdleServer struct {
	// Index is the server's index in the caller's list.
	Index int
	// FailChance is the chance, from 0 to 1, that a request fails at the server.
	FailChance float64
	// IsInBackoff marks a server that recently failed the last request it got.
	IsInBackoff bool
}

// DueTrials returns the idle servers of the group with index local to which a request must be sent before all others, in the order
// of SelectDueTrials. idle holds all idle servers of the group; DueTrials sorts it.
func (c CoverageRule) DueTrials(idle []IdleServer, groups []int, local int) []IdleServer {
	inBackoff := 0
	for _, s := range idle {
		if s.IsInBackoff {
			inBackoff++
		}
	}
	return SelectDueTrials(idle, c.MaxIdle(inBackoff, groups, local))
}

// SelectDueTrials sorts idle by rising FailChance, with all servers in back-off after the others, and returns it without its
// last maxIdle servers.
func SelectDueTrials(idle []IdleServer, maxIdle int) []IdleServer {
	if len(idle) <= maxIdle {
		return nil
	}
	slices.SortFunc(idle, func(a, b IdleServer) int {
		return cmp.Or(compareBool(a.IsInBackoff, b.IsInBackoff), cmp.Compare(a.FailChance, b.FailChance), cmp.Compare(a.Index, b.Index))
	})
	return idle[:len(idle)-maxIdle]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
