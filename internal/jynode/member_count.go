package jynode

import (
	"time"
)

// deadMemberTime is how long a dead instance counts: the parts of a divided fleet consider each other dead.
const deadMemberTime = time.Minute

// memberCount counts the instances that share quotas. It is not safe for concurrent use.
type memberCount struct {
	value     int
	countedAt time.Time // when value was counted from the membership at version
	version   uint64
}

// count returns the number of instances that have not left, dead ones included for deadMemberTime.
func (c *memberCount) count(now time.Time, n *Node) int {
	version := n.fleet.MembershipVersion()
	if c.value > 0 && version == c.version && now.Sub(c.countedAt) < sharersInterval {
		return c.value
	}
	c.value, c.countedAt, c.version = 0, now, version
	for _, in := range (&limitShares{node: n}).instances() {
		if in.DeadFor <= deadMemberTime {
			c.value++
		}
	}
	return c.value
}
