package jydistance

import "time"

// Demand estimates how many slots the requests of the own data centre's callers need, wherever they run. It is not safe for
// concurrent use.
type Demand struct {
	sent Rate
	held Level
}

// Sent counts n requests that instances of the own data centre sent to servers.
func (d *Demand) Sent(now time.Time, n int) { d.sent.Add(now, n) }

// Slots returns the number of slots needed. held is the number of requests that servers hold now for the own data centre, and
// serviceTime how long they usually work on one; 0 if that is unknown.
//
// Both held requests and arrivals times service time measure the need. The first counts queues, and the second counts requests that
// failed at once and are sent again, so the lower one is nearer to it.
func (d *Demand) Slots(now time.Time, held float64, serviceTime time.Duration) float64 {
	mean := d.held.Sample(now, held)
	if serviceTime <= 0 {
		return mean
	}
	return min(mean, d.sent.PerSecond(now)*serviceTime.Seconds())
}
