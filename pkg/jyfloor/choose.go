package jyfloor

import (
	"cmp"
	"slices"
)

// HealthState says whether a server gets requests. The states are ordered from best to worst, and a server in a lower one is
// readmitted first.
type HealthState int

// The health states.
const (
	Serving        HealthState = iota // gets requests and counts as capacity
	Cold                              // gets a growing share of requests and does not count as capacity
	Probation                         // gets a few requests and does not count as capacity
	LocallyEjected                    // ejected by this instance alone
	Ejected                           // ejected by the fleet
	Draining                          // drains, as the server or the operator announced; never readmitted
)

// Server is one backend server of a service.
type Server struct {
	Slots int // number of requests that the server runs concurrently
	State HealthState
	Score float64 // strength of the evidence against the server; higher is worse
}

// Readmit returns the indexes of the servers that must get full load in spite of their state, so that the service keeps the
// slots of its floor, and at least one server. The least suspect servers come first, by state and then by score. The result is
// empty if the Serving servers suffice, and holds all servers but these and the Draining ones if the floor cannot be kept.
func Readmit(servers []Server, floor int) []int {
	have := 0
	var candidates []int
	for i, s := range servers {
		switch s.State {
		case Serving:
			have += s.Slots
		case Cold, Probation, LocallyEjected, Ejected:
			candidates = append(candidates, i)
		case Draining:
		}
	}
	// At least one server must get requests, even if the floor is zero.
	need := max(floor, 1)
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(servers[a].State, servers[b].State), cmp.Compare(servers[a].Score, servers[b].Score))
	})
	var chosen []int
	for _, i := range candidates {
		if have >= need {
			break
		}
		have += servers[i].Slots
		chosen = append(chosen, i)
	}
	return chosen
}
