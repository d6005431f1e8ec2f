package jynode

// leastConnections is the number of connections to a backend server below which an instance cannot work.
const leastConnections = 2

// shareConnections divides a backend server's connections among the instances that are known, so that all together stay below its bound.
func (n *Node) shareConnections(total int) int {
	instances := 1
	if n.fleet != nil {
		instances += len(n.fleet.Members())
	}
	return max(leastConnections, total/instances)
}
