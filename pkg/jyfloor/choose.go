package jyfloor

import (
	"cmp"
	"slices"
)

// HealthState is how far a server is fit to take requests; a lower one is readmitted earlier.
type HealthState int

// The standings.
const (
	Serving        HealthState = iota // takes requests and counts as capacity
	Cold                              // takes a growing share and counts as missing
	Probation                         // takes a trickle and counts as missing
	LocallyEjected                    // this instance alone finds it failing
	Ejected                           // the fleet finds it failing
	Draining                          // leaves by its own word or the operator's: never readmitted
)

// Server is one backend server of a service.
type Server struct {
	Slots int
	State HealthState
	Score float64 // how strong the evidence against it is
}

// Readmit returns the indexes of servers that must take full load after all, least suspect first, so that the service holds its floor of slots.
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
	// Some server must be tried even where the floor is zero.
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
