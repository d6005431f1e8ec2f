package jyexperiment

import "time"

// Placer names a way of choosing the backend server of a request.
type Placer string

// The ways of choosing.
const (
	// PlaceByLoss chooses by expected loss, from what was observed.
	PlaceByLoss Placer = "expected loss"
	// PlaceByTruth chooses by expected loss, and knows which servers are gray at the moment: no way of observing does better.
	PlaceByTruth Placer = "truth known"
	// PlaceByLoad chooses the least busy server.
	PlaceByLoad Placer = "least busy"
)

// Placers lists all ways of choosing.
var Placers = []Placer{PlaceByLoad, PlaceByLoss, PlaceByTruth}

// PlacingCase is one way of choosing under one load, at one service.
type PlacingCase struct {
	Placer     Placer
	Servers    int
	Slots      int
	Queue      int     // requests that wait at a server before it sheds others
	Rate       float64 // requests a second
	Repeatable float64 // share of the requests that may be repeated, once each
	Work       time.Duration
	Objective  time.Duration
	Time       time.Duration
	// NewsDelay is how long it takes until an outcome is known to all instances.
	NewsDelay time.Duration
	// BurstFrom and BurstUntil bound a time of BurstFactor times the rate.
	BurstFrom, BurstUntil time.Duration
	BurstFactor           float64
	Fault                 PlacingFault
}

// PlacingFault is a fault of some servers beside their turning gray by themselves.
type PlacingFault struct {
	From, Until time.Duration
	Servers     int
	// Failure is the chance that such a server fails a request after its work.
	Failure float64
}

// isActive reports whether the fault is active, or was so within the time before now.
func (f PlacingFault) isActive(now, within time.Duration) bool {
	return f.Servers > 0 && now >= f.From && now < f.Until+within
}

// PlacingResult is what became of the requests, as shares of all.
type PlacingResult struct {
	InTime float64 // served within the objective
	Late   float64 // served later
	Failed float64
	Shed   float64
	// Again is the number of repeats for each request.
	Again float64
	// LeastUsed is the least share of the servers that got a request within any two seconds.
	LeastUsed float64
	// LeastHealthy is that share of the healthy servers: those without a fault that had not failed a request within two seconds before.
	LeastHealthy float64
}

// Unserved returns the share of the requests that got no answer of worth.
func (r PlacingResult) Unserved() float64 { return r.Failed + r.Shed }
