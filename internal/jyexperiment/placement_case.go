package jyexperiment

import "time"

// PlacementPolicy names a policy that chooses the backend server of a request.
type PlacementPolicy string

// The placement policies.
const (
	// PlacementByExpectedLoss minimizes the expected loss, computed from the observed outcomes.
	PlacementByExpectedLoss PlacementPolicy = "expected loss"
	// PlacementByTrueState minimizes the expected loss, computed from the true state of each server, gray or not. It is a bound
	// on what a policy that must observe the servers can reach.
	PlacementByTrueState PlacementPolicy = "truth known"
	// PlacementByLoad chooses the server with the fewest requests in flight.
	PlacementByLoad PlacementPolicy = "least busy"
)

// PlacementPolicies lists all placement policies.
var PlacementPolicies = []PlacementPolicy{PlacementByLoad, PlacementByExpectedLoss, PlacementByTrueState}

// PlacementCase is a placement policy with the load and the servers of one service.
type PlacementCase struct {
	Policy          PlacementPolicy
	Servers         int
	Slots           int           // of each server
	QueueLength     int           // maximum number of requests that wait at a server, which sheds further ones
	Rate            float64       // requests per second
	RetryableShare  float64       // share of the requests that may be retried, once each
	MeanServiceTime time.Duration // of a request in a slot
	Objective       time.Duration // latency within which an answer is in time
	RunDuration     time.Duration // virtual time in which requests arrive
	// ReportDelay is the time from the outcome of a request to the update of the belief about its server.
	ReportDelay time.Duration
	// BurstFrom and BurstUntil are the virtual times between which the rate is multiplied by BurstFactor.
	BurstFrom, BurstUntil time.Duration
	BurstFactor           float64
	Fault                 PlacementFault
}

// PlacementFault is a fault of the first Servers servers, active from From until Until, in addition to their gray phases.
type PlacementFault struct {
	From, Until time.Duration
	Servers     int
	// FailureRate is the chance that such a server fails a request after it has served it.
	FailureRate float64
}

// isActive reports whether the fault is active at now, or ended less than extension before.
func (f PlacementFault) isActive(now, extension time.Duration) bool {
	return f.Servers > 0 && now >= f.From && now < f.Until+extension
}

// PlacementResult holds the outcomes of the requests, as shares of all requests.
type PlacementResult struct {
	InTime float64 // answered within the objective
	Late   float64 // answered later
	Failed float64 // in the last attempt
	Shed   float64 // in the last attempt, because the queue of the server was full
	// RetriesPerRequest is the mean number of retries of a request.
	RetriesPerRequest float64
	// MinUsedShare is the lowest share of the servers that got a request within two seconds, over all such windows in the run.
	MinUsedShare float64
	// MinHealthyUsedShare is the same share among the healthy servers: those that had no PlacementFault recently and failed no
	// request early in the two seconds before the window.
	MinHealthyUsedShare float64
}

// Unserved returns the share of the requests that failed or were shed.
func (r PlacementResult) Unserved() float64 { return r.Failed + r.Shed }
