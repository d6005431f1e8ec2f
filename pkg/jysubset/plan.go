package jysubset

import (
	"cmp"
	"math"
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// Plan says how many backend servers of a service an instance uses, and with how many connections.
type Plan struct {
	// Servers is the number of backend servers in use.
	Servers int
	// Connections is the number of connections that the instance may open to each of them.
	Connections int
}

const (
	// minConnectionsWithoutSubset is the number of connections per server from which on an instance uses all servers.
	minConnectionsWithoutSubset = 4
	// minSubsetServers is the number of servers that a subset should have, so that one may fail and another be slow.
	minSubsetServers = 3
	// maxDeviations is the number of standard deviations above the mean that is allowed for in the number of instances at one
	// server: rendezvous hashing spreads instances like a binomial distribution.
	maxDeviations = 4
)

// PlanFor returns the plan of one instance for a service whose servers each accept this many connections from the whole fleet.
// A plan has at least one connection, even if the fleet is too large for the connections that the servers accept.
func PlanFor(instances, servers, connections int) Plan {
	instances = max(1, instances)
	if share := connections / instances; share >= minConnectionsWithoutSubset {
		return Plan{Servers: servers, Connections: share}
	}
	for n := min(minSubsetServers, servers); n > 0; n-- {
		if c := connectionsFor(instances, servers, connections, n); c > 0 || n == 1 {
			return Plan{Servers: n, Connections: max(1, c)}
		}
	}
	return Plan{Servers: servers, Connections: 1}
}

// connectionsFor returns how many connections an instance may open to each server of a subset of this size, or 0 if too many
// instances would share a server.
func connectionsFor(instances, servers, connections, subsetSize int) int {
	mean := float64(instances) * float64(subsetSize) / float64(servers)
	maxInstances := mean + maxDeviations*math.Sqrt(mean)
	if subsetSize == servers {
		maxInstances = mean
	}
	return int(float64(connections) / maxInstances)
}

// Server is a candidate for a subset.
type Server struct {
	Name string
	// InSameRegion is set for servers in the region of the instance, which it prefers.
	InSameRegion bool
}

// Rank returns the indexes of the servers in the order in which the instance uses them: the first Plan.Servers of them are its
// subset. Adding or removing a server does not change the order of the others.
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
		if sameRegion := servers[a.index].InSameRegion; sameRegion != servers[b.index].InSameRegion {
			if sameRegion {
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
