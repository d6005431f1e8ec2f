// Package jyqueue decides which requests may join the queue of a backend server while a service is full, and in which order the
// others wait at the instance.
//
// MaxQueued returns how deep the queue of a server may be for a request of a priority, and Pressure tells whether the service stays
// full. Shares tells which client accounts are over their share of what the servers run. A Queue holds the requests that wait at one
// instance for one service.
package jyqueue
