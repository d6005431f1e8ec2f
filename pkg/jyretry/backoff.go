package jyretry

import "time"

// Bounds of the back-off after lost connections, during which an instance prefers other backend servers.
const (
	FirstBackoff = 50 * time.Millisecond
	MaxBackoff   = 2 * time.Second
)

// Backoff returns the back-off after the given number of connections lost in a row. It doubles with each, up to MaxBackoff.
func Backoff(consecutiveLosses int) time.Duration {
	const maxDoublings = 6
	return min(MaxBackoff, FirstBackoff<<min(max(0, consecutiveLosses-1), maxDoublings))
}
