package jyaccountquota

import (
	"math"
	"time"
)

// moment is a time as the duration since the start of Buckets.
type moment time.Duration

// add returns the moment d later.
func (m moment) add(seconds float64) moment { return m + moment(seconds*float64(time.Second)) }

// since returns the seconds from other to m, or 0 if other is later.
func (m moment) since(other moment) float64 { return max(0, time.Duration(m-other).Seconds()) }

// recentTime is the time in seconds over which decayed counts: the delay until a loss of contact is noticed.
const recentTime = 1.0

// decayed counts the requests of about the last recentTime.
type decayed struct {
	value float64
	at    moment
}

// count returns the count at now.
func (d decayed) count(now moment) float64 { return d.value * math.Exp(-now.since(d.at)/recentTime) }

// add adds n requests, which may be below 0.
func (d *decayed) add(now moment, n float64) {
	d.value = max(0, d.count(now)+n)
	d.at = max(d.at, now)
}
