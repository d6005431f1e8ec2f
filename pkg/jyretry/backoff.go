package jyretry

import "time"

// Bounds of the time for which one instance prefers other backend servers after a lost connection.
const (
	FirstBackoff = 50 * time.Millisecond
	MaxBackoff   = 2 * time.Second
)

// Backoff returns for how long a backend server is passed over after so many lost connections in a row, from 1.
func Backoff(lost int) time.Duration {
	const maxDoublings = 6
	return min(MaxBackoff, FirstBackoff<<min(max(0, lost-1), maxDoublings))
}
