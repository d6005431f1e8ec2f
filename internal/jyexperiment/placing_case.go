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
}

// Unserved returns the share of the requests that got no answer of worth.
func (r PlacingResult) Unserved() float64 { return r.Failed + r.Shed }
