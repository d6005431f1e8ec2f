package jyreturn

import "time"

// Capacity is the capacity of a service as one instance knows it.
type Capacity struct {
	// Slots is the number of slots of the servers that take requests, and Free the number of those that are free.
	Slots, Free int
	// ServiceTime is the mean time that a server works on a request; 0 if it is not known yet.
	ServiceTime time.Duration
	// Instances is the number of instances that share the servers.
	Instances int
}

// minFreeShare is the share of free slots from which on a service has room. At full load, outdated loads let a few slots seem free.
const minFreeShare = 0.1

// HasRoom reports whether enough slots are free for a request that comes back at once.
func (c Capacity) HasRoom() bool {
	return c.Free > 0 && float64(c.Free) >= minFreeShare*float64(c.Slots)
}

// RatePerInstance returns the requests per second that the servers can run for the callers of one instance, or 0 if it is not known.
func (c Capacity) RatePerInstance() float64 {
	if c.ServiceTime <= 0 {
		return 0
	}
	return float64(c.Slots) / c.ServiceTime.Seconds() / float64(max(1, c.Instances))
}
