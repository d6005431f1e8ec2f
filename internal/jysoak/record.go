package jysoak

import (
	"net/http"
	"time"
)

// Request is a request of a caller and its outcome. Times are offsets from the start of the soak.
type Request struct {
	ID           string
	IsIdempotent bool
	// AddedRoute is the number of the added route that the request uses, from 1 on, or 0 if it uses a first one.
	AddedRoute int
	// Key is the number of the key that the request carries, from 1 on, or 0 for none.
	Key      int
	Instance int // index of the instance that it was sent to
	// Boot is the number of times that the instance's process had been started when the request was sent.
	Boot  int
	Sent  time.Duration
	Ended time.Duration
	// Status is the HTTP status; 0 means that no complete answer arrived.
	Status int
	Body   string
	Signed bool // whether the answer has a signature
}

// IsServed reports whether the answer has a success status (2xx).
func (r Request) IsServed() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// IsRefused reports whether the status is 503 or 429, which guarantee that the request has not run.
func (r Request) IsRefused() bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

// Execution is a request that a server ran.
type Execution struct {
	ID     string // of the Request
	Server int    // index of the server
	// Service is 0 for the service that routes start with and 1 for the one that they move to.
	Service int
	// At is when the server began to run it, an offset from the start of the soak.
	At time.Duration
}

// Arrival is a request that arrived at a server, whether or not it ran.
type Arrival struct {
	ID     string        // of the Request
	Server int           // index of the server
	At     time.Duration // offset from the start of the soak
	// Accounts and Keys are the values of the headers for the account and the key.
	Accounts, Keys []string
}

// Record is what callers and servers observed, and the plan that was run.
type Record struct {
	Plan       []Step
	Requests   []Request
	Executions []Execution
	Arrivals   []Arrival // at each server in order of time
	// RoutesAdded is when each added route was published, in order of their numbers.
	RoutesAdded []time.Duration
	// KeysRemoved is when each key was taken away, in order of their numbers.
	KeysRemoved []time.Duration
	// FaultsEnded is when all steps were over, and End when callers stop sending; offsets from the start of the soak.
	FaultsEnded time.Duration
	End         time.Duration
}
