package jyplace

import (
	"math"
	"time"
)

// Candidate is one backend server as one instance sees it.
type Candidate struct {
	// FailChance is the chance that the request fails there.
	FailChance float64
	// ShedChance is the chance that the server sheds the request, unworked.
	ShedChance float64
	// InFlight is the number of requests there, of all instances as far as known.
	InFlight float64
	Slots    int
	// Slowdown is how many times longer than usual the server works, 1 where nothing is known.
	Slowdown float64
	// DistanceCost is what the way there costs, as a share of a request's worth.
	DistanceCost float64
	// IdleTime is how long the server has got no request, of any instance as far as known.
	IdleTime time.Duration
	// IsUntried marks a server nearby that nobody has tried: it is tried soon, so that what was added is used.
	IsUntried bool
	// IsDueTrial marks a server that must be tried before those that are not due.
	IsDueTrial bool
	// IsExcluded marks a server that must not get the request.
	IsExcluded bool
}

// Request is what a request asks for.
type Request struct {
	// ServiceTime is how long the service usually works on a request.
	ServiceTime time.Duration
	// Objective is the latency up to which an answer is worth most.
	Objective time.Duration
	// IsRetryable says that another server may be tried if this one fails the request.
	IsRetryable bool
}

// None is returned by Choose where all candidates are excluded.
const None = -1

// exploration is the part of a chance to fail that does not count where it is as likely as not: the answer is worth knowing.
const exploration = 0.6

// explorationTime is how long a server must have got no request for most of that: what was tried just now tells little more.
const explorationTime = 500 * time.Millisecond

// repetition is the part of a chance to fail that counts where another server may be tried.
const repetition = 0.15

// spread says how sharply answers turn late as the expected latency nears the objective.
const spread = 3

// jitter spreads choices between candidates that are as good as equal.
const jitter = 0.01

// Loss returns the share of a request's worth that is expected to be lost at the candidate.
func (c Candidate) Loss(r Request) float64 {
	late := lateChance(c.latency(r), r.Objective)
	if c.IsUntried && c.InFlight == 0 {
		return 0
	}
	fail := c.FailChance * (1 - exploration*c.doubt()*c.staleness())
	if r.IsRetryable {
		fail *= repetition
	}
	// A late answer counts as lost, though it is worth something to its caller: what waits so long delays all behind it.
	served := (1 - c.ShedChance) * (1 - fail) * (1 - late)
	return 1 - served + c.DistanceCost
}

// doubt returns how uncertain it is whether the request fails, from 0 to 1.
func (c Candidate) doubt() float64 { return 4 * c.FailChance * (1 - c.FailChance) }

// staleness returns how little is known of the server as it is now, from 0 to 1.
func (c Candidate) staleness() float64 {
	return -math.Expm1(-float64(c.IdleTime) / float64(explorationTime))
}

// latency returns how long the request is expected to take at the candidate.
func (c Candidate) latency(r Request) time.Duration {
	work := float64(r.ServiceTime) * c.Slowdown
	ahead := max(0, c.InFlight+1-float64(c.Slots))
	wait := work * ahead / float64(c.Slots)
	return time.Duration(wait + work)
}

// lateChance is the chance that an answer which is expected after a time comes beyond the objective: the times of single
// requests spread widely around what is expected.
func lateChance(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(expected) / float64(objective)
	x = math.Pow(x, spread)
	return x / (1 + x)
}

// Choose returns the index of the candidate of least loss among n, or None; draw returns random numbers in [0, 1).
func Choose(n int, at func(int) Candidate, r Request, draw func() float64) int {
	best, least, due := None, 0.0, false
	for i := range n {
		c := at(i)
		if c.IsExcluded || (due && !c.IsDueTrial) {
			continue
		}
		loss := c.Loss(r) + jitter*draw()
		if best == None || loss < least || (c.IsDueTrial && !due) {
			best, least, due = i, loss, c.IsDueTrial
		}
	}
	return best
}
