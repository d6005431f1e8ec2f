// Package jydistance decides when it pays to send a request to a backend server in another data centre, and how many requests to
// send there.
//
// Cost is the price of one such request. Share says which part of a service's requests may go to each other data centre, computed
// from the capacity of the own data centre and from what the others state about theirs. Demand estimates the capacity that the
// own callers need.
package jydistance
