package jyexperiment

import "time"

// waitingRequest is one request of a caller, including the new requests that it sends after refusals.
type waitingRequest struct {
	id                 uint64
	arrived, deadline  time.Duration // virtual times, of the caller's first request
	priority, account  int
	centre             int
	isEnded            bool
	isCountedAsTrouble bool
	generation         int // rises with each new request of the caller, and if the instance is killed
}

// waitingVisit is the stay of a request at one instance.
type waitingVisit struct {
	request     *waitingRequest
	instance    *waitingInstance
	arrived     time.Duration
	generation  int
	attempts    int
	tried       []int
	isOverShare bool
}

// isOver reports whether the request ended, or is no longer at the instance.
func (v *waitingVisit) isOver() bool {
	return v.request.isEnded || v.generation != v.request.generation
}

// waitingAttempt is one attempt at a server.
type waitingAttempt struct {
	visit  *waitingVisit
	server int
	sent   time.Time
	load   int // requests at the server before, as far as known
}
