package jysubset

import (
	"cmp"
	"math"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// Plan says how an instance uses the backend servers of one service.
type Plan struct {
	// Servers is the number of backend servers it uses.
	Servers int
	// Connections is the number it may open to each.
	Connections int
}

const (
	// ample is the number of connections to each server with which an instance needs no subset.
	ample = 4
	// leastServers is the number of servers that a subset should have, so that one may fail and one be slow.
	leastServers = 3
	// deviations is how far above the mean the number of instances at one server may lie: rendezvous hashing spreads
	// them like a binomial distribution.
	deviations = 4
)

// PlanFor returns the plan for a service with this many servers, each taking this many connections from the whole fleet.
func PlanFor(instances, servers, connections int) Plan {
	instances = max(1, instances)
	if share := connections / instances; share >= ample {
		return Plan{Servers: servers, Connections: share}
	}
	for n := min(leastServers, servers); n > 0; n-- {
		if c := connectionsFor(instances, servers, connections, n); c > 0 || n == 1 {
			return Plan{Servers: n, Connections: max(1, c)}
		}
	}
	return Plan{Servers: servers, Connections: 1}
}

func connectionsFor(instances, servers, connections, subset int) int {
	mean := float64(instances) * float64(subset) / float64(servers)
	most := mean + deviations*math.Sqrt(mean)
	if subset == servers {
		most = mean
	}
	return int(float64(connections) / most)
}

// Server is a candidate for a subset.
type Server struct {
	Name string
	// InSameRegion marks servers in the instance's own region, which it prefers.
	InSameRegion bool
}

// Rank returns the indexes of the servers in the order in which the instance uses them; a change of the list moves few.
func Rank(instance string, servers []Server) []int {
	type ranked struct {
		index  int
		weight uint64
	}
	list := make([]ranked, len(servers))
	for i, s := range servers {
		list[i] = ranked{i, jyrendezvous.Weight(instance, s.Name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if near := servers[a.index].InSameRegion; near != servers[b.index].InSameRegion {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(servers[a.index].Name, servers[b.index].Name))
	})
	out := make([]int, len(list))
	for i, r := range list {
		out[i] = r.index
	}
	return out
}
