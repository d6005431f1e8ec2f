package jyexperiment

import "time"

// PlacementPolicy names a way of choosing the backend server of a request.
type PlacementPolicy string

// The ways of choosing.
const (
	// PlacementByExpectedLoss chooses by expected loss, from what was observed.
	PlacementByExpectedLoss PlacementPolicy = "expected loss"
	// PlacementByTrueState chooses by expected loss, and knows which servers are gray at the moment: no way of observing does better.
	PlacementByTrueState PlacementPolicy = "truth known"
	// PlacementByLoad chooses the least busy server.
	PlacementByLoad PlacementPolicy = "least busy"
)

// PlacementPolicies lists all ways of choosing.
var PlacementPolicies = []PlacementPolicy{PlacementByLoad, PlacementByExpectedLoss, PlacementByTrueState}

// PlacementCase is one way of choosing under one load, at one service.
type PlacementCase struct {
	Policy          PlacementPolicy
	Servers         int
	Slots           int
	QueueLength     int     // requests that wait at a server before it sheds others
	Rate            float64 // requests a second
	RetryableShare  float64 // share of the requests that may be repeated, once each
	MeanServiceTime time.Duration
	Objective       time.Duration
	RunDuration     time.Duration
	// ReportDelay is how long it takes until an outcome is known to all instances.
	ReportDelay time.Duration
	// BurstFrom and BurstUntil bound a time of BurstFactor times the rate.
	BurstFrom, BurstUntil time.Duration
	BurstFactor           float64
	Fault                 PlacementFault
}

// PlacementFault is a fault of some servers beside their turning gray by themselves.
type PlacementFault struct {
	From, Until time.Duration
	Servers     int
	// FailureRate is the chance that such a server fails a request after its work.
	FailureRate float64
}

// isActive reports whether the fault is active, or was so within the time before now.
func (f PlacementFault) isActive(now, within time.Duration) bool {
	return f.Servers > 0 && now >= f.From && now < f.Until+within
}

// PlacementResult is what became of the requests, as shares of all.
type PlacementResult struct {
	InTime float64 // served within the objective
	Late   float64 // served later
	Failed float64
	Shed   float64
	// RetriesPerRequest is the number of repeats for each request.
	RetriesPerRequest float64
	// MinUsedShare is the least share of the servers that got a request within any two seconds.
	MinUsedShare float64
	// MinHealthyUsedShare is that share of the healthy servers: those without a fault that had not failed a request within two seconds before.
	MinHealthyUsedShare float64
}

// Unserved returns the share of the requests that got no answer of worth.
func (r PlacementResult) Unserved() float64 { return r.Failed + r.Shed }
