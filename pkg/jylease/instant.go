package jylease

import "time"

// Instant is a reading of a clock that runs on while the machine is suspended: the time since the machine started. Instants of
// different machines cannot be compared.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from the instant from until i.
func (i Instant) Sub(from Instant) time.Duration { return time.Duration(i - from) }
