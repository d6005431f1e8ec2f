package jyfloor

import (
	"cmp"
	"slices"
)

// Standing is how far a server is fit to take requests; a lower one is readmitted earlier.
type Standing int

// The standings.
const (
	Serving   Standing = iota // takes requests and counts as capacity
	Cold                      // takes a growing share and counts as missing
	Probation                 // takes a trickle and counts as missing
	Avoided                   // this instance alone finds it failing
	Ejected                   // the fleet finds it failing
	Draining                  // leaves by its own word or the operator's: never readmitted
)

// Server is one backend server of a service.
type Server struct {
	Slots    int
	Standing Standing
	Score    float64 // how strong the evidence against it is
}

// Readmit returns the indexes of servers that must take full load after all, least suspect first, so that the service holds its floor of slots.
func Readmit(servers []Server, floor int) []int {
	have := 0
	var candidates []int
	for i, s := range servers {
		switch s.Standing {
		case Serving:
			have += s.Slots
		case Cold, Probation, Avoided, Ejected:
			candidates = append(candidates, i)
		case Draining:
		}
	}
	// Some server must be tried even where the floor is zero.
	need := max(floor, 1)
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(servers[a].Standing, servers[b].Standing), cmp.Compare(servers[a].Score, servers[b].Score))
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
