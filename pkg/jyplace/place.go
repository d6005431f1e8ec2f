package jyplace

import (
	"math"
	"time"
)

// Candidate is one backend server as one instance sees it.
type Candidate struct {
	// FailChance is the chance, from 0 to 1, that a request fails at the server.
	FailChance float64
	// ShedChance is the chance, from 0 to 1, that the server sheds the request without running it.
	ShedChance float64
	// InFlight is the number of requests of all instances at the server, as far as known.
	InFlight float64
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Slowdown is the server's service time as a multiple of the usual one; 1 where nothing is known.
	Slowdown float64
	// DistanceCost is the cost of the distance to the server, as a share of the request's value.
	DistanceCost float64
	// IdleTime is the time since any instance sent the server a request, as far as known.
	IdleTime time.Duration
	// IsUntried marks a local server that never got a request. Its loss is 0 until its first request is in flight, so that added
	// servers are used soon.
	IsUntried bool
	// IsDueTrial marks a server that must be tried before all servers that are not marked.
	IsDueTrial bool
	// IsExcluded marks a server that must not get the request.
	IsExcluded bool
}

// Request holds the properties of a request that the loss depends on.
type Request struct {
	// ServiceTime is how long a server of the service usually works on a request.
	ServiceTime time.Duration
	// Objective is the latency up to which an answer has its full value; 0 means that there is none.
	Objective time.Duration
	// IsRetryable says that another server may be tried if this one fails the request.
	IsRetryable bool
}

// None is the index that Choose returns if all candidates are excluded.
const None = -1

// explorationDiscount is the largest share by which the chance of failure is discounted, because a request with an uncertain
// outcome gives information about the server. It applies in full if a failure is as likely as not and the server has been idle
// for long.
const explorationDiscount = 0.6

// explorationTime is the time constant with which the discount grows with a server's idle time: another request to a server
// that was just tried adds little information.
const explorationTime = 500 * time.Millisecond

// retryableFailWeight is the weight of the chance of failure for a retryable request, which another server may still serve.
const retryableFailWeight = 0.15

// latenessSteepness is how steeply the chance of a late answer rises as the expected latency nears the objective.
const latenessSteepness = 3

// jitter is the largest random loss that is added, so that choices spread over candidates of nearly equal loss.
const jitter = 0.01

// Loss returns the share of the request's value that is expected to be lost at the candidate, plus its distance cost.
func (c Candidate) Loss(r Request) float64 {
	late := lateChance(c.expectedLatency(r), r.Objective)
	if c.IsUntried && c.InFlight == 0 {
		return 0
	}
	fail := c.FailChance * (1 - explorationDiscount*c.uncertainty()*c.staleness())
	if r.IsRetryable {
		fail *= retryableFailWeight
	}
	// A late answer still has some value to its caller, but it counts as lost: a request that waits that long delays all
	// requests queued behind it.
	served := (1 - c.ShedChance) * (1 - fail) * (1 - late)
	return 1 - served + c.DistanceCost
}

// uncertainty returns how uncertain the outcome at the server is: 0 if it is known, 1 if a failure is as likely as not.
func (c Candidate) uncertainty() float64 { return 4 * c.FailChance * (1 - c.FailChance) }

// staleness returns how outdated the knowledge about the server is: 0 if it just got a request, nearly 1 if long ago.
func (c Candidate) staleness() float64 {
	return -math.Expm1(-float64(c.IdleTime) / float64(explorationTime))
}

// expectedLatency returns the expected wait for a slot at the server plus its service time.
func (c Candidate) expectedLatency(r Request) time.Duration {
	return time.Duration(c.wait(r) + c.serviceTime(r))
}

// ExpectedWait returns the expected wait for a slot at the server.
func (c Candidate) ExpectedWait(r Request) time.Duration { return time.Duration(c.wait(r)) }

// wait returns the expected wait for a slot, in nanoseconds.
func (c Candidate) wait(r Request) float64 {
	ahead := max(0, c.InFlight+1-float64(c.Slots))
	return c.serviceTime(r) * ahead / float64(c.Slots)
}

// serviceTime returns how long the server works on the request, in nanoseconds.
func (c Candidate) serviceTime(r Request) float64 { return float64(r.ServiceTime) * c.Slowdown }

// lateChance returns the chance that an answer with the expected latency exceeds the objective. The curve is wide, since the
// latencies of single requests vary widely; it passes 0.5 where the expected latency equals the objective.
func lateChance(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(expected) / float64(objective)
	x = math.Pow(x, latenessSteepness)
	return x / (1 + x)
}

// Choose returns the index of the candidate with the lowest loss among n, or None. If a candidate that is not excluded is a due
// trial, only due trials are considered. at returns the candidate with an index, and random returns numbers in [0, 1).
func Choose(n int, at func(int) Candidate, r Request, random func() float64) int {
	best, lowest, bestIsDue := None, 0.0, false
	for i := range n {
		c := at(i)
		if c.IsExcluded || (bestIsDue && !c.IsDueTrial) {
			continue
		}
		loss := c.Loss(r) + jitter*random()
		if best == None || loss < lowest || (c.IsDueTrial && !bestIsDue) {
			best, lowest, bestIsDue = i, loss, c.IsDueTrial
		}
	}
	return best
}
