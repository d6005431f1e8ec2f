package jydiscovery

import "time"

// FeedAnswer is the answer of a feed source.
type FeedAnswer struct {
	Changes Changes
	// Confirmed says when the store was last known to hold nothing newer, relative to the arrival of the call. It is negative for a
	// time before the arrival.
	Confirmed time.Duration
	// Proven says, relative to the arrival of the call, for which instant it is proven that the position of Changes covers all that the
	// store had acknowledged. It is measured on a clock that runs on while the machine is suspended, and nil if there is no proof.
	Proven *time.Duration
}
