package jydistance

import "time"

// Link is the path between two data centres.
type Link struct {
	RoundTrip time.Duration
	// Loss is the chance, from 0 to 1, that a message is lost on the way.
	Loss float64
}

// Transfer is what a request moves over a Link.
type Transfer struct {
	Bytes float64 // of the request and its answer
	// PricePerGigabyte is in request values: 1 means that a gigabyte costs as much as one request is worth.
	PricePerGigabyte float64
}

// MaxCost bounds the cost of a data centre in the choice of a server, whatever the price: a local server that is likelier to fail than
// to serve the request is not preferred to one elsewhere, so that no request is lost to save traffic.
const MaxCost = 0.5

// bytesPerGigabyte converts the unit of prices.
const bytesPerGigabyte = 1e9

// Cost returns the cost of a request over the link, as a share of the request's value. The delay counts as its share of the
// objective: while requests wait, the chance that an answer is late rises about that much. An objective of 0 means that there is
// none.
func Cost(l Link, t Transfer, objective time.Duration) float64 {
	cost := l.Loss + t.Bytes*t.PricePerGigabyte/bytesPerGigabyte
	if objective > 0 {
		cost += float64(l.RoundTrip) / float64(objective)
	}
	return cost
}
