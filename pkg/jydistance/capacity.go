package jydistance

import "math"

// Capacity is the capacity of a data centre for a service.
type Capacity struct {
	Slots float64 // of the servers that are fit for requests
	Load  float64 // requests of all instances that those servers hold, as a decayed mean
}

// Usable returns how many of the slots may be in use on average before requests often wait for one. By the square-root rule of
// queueing theory, the reserve grows with the root of the number of slots. Of fewer than four slots, half are usable.
func Usable(slots float64) float64 {
	slots = max(0, slots)
	return max(minUsableShare*slots, slots-math.Sqrt(slots))
}

// minUsableShare is the least usable share of the slots. The rule alone would leave none of a single slot.
const minUsableShare = 0.5

// room returns the number of requests that the data centre could hold in addition; it is negative if the data centre holds too many.
func (c Capacity) room() float64 { return Usable(c.Slots) - c.Load }

// shortShare is the share of the usable slots above which a data centre may soon need those of others. It is below 1, since a data
// centre that sends its excess elsewhere stays just at its usable slots.
const shortShare = 0.9

// isNearlyFull reports whether the data centre may want the room of others.
func (c Capacity) isNearlyFull() bool { return c.Load >= shortShare*Usable(c.Slots) }
