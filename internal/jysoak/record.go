package jysoak

import (
	"net/http"
	"time"
)

// Request is a request of a caller and what became of it; times count from the start of the soak.
type Request struct {
	ID           string
	IsIdempotent bool
	Instance     int
	// Boot counts the runs of the instance's process at the time of sending.
	Boot  int
	Sent  time.Duration
	Ended time.Duration
	// Status is 0 where no whole answer came.
	Status int
	Body   string
	Signed bool
}

// IsServed reports whether the request got an answer of success.
func (a Request) IsServed() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// IsRefused reports whether the answer promises that the request has not run.
func (a Request) IsRefused() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// Execution is a run of a request at a server.
type Execution struct {
	ID     string
	Server int
	// Service is 0 for the first service and 1 for the one that the routes moved to.
	Service int
	At      time.Duration
}

// Record is all that callers and servers saw, with the plan that was carried out.
type Record struct {
	Plan       []Step
	Requests   []Request
	Executions []Execution
	// FaultsEnded is when all steps were over, and Time the end.
	FaultsEnded time.Duration
	End         time.Duration
}
