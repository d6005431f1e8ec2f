package jymember

import "time"

const (
	// startupInterval and startupTime let a few hundred instances that start together discover each other within a second.
	startupInterval = 100 * time.Millisecond
	startupTime     = 2 * time.Second
	// updatesOnlyIntervals is the number of startup intervals without a request for the full state, so that an instance knows
	// many others before it asks one of them.
	updatesOnlyIntervals = 3
)

// HeartbeatSchedule is how often an instance sends heartbeats.
type HeartbeatSchedule struct {
	Interval time.Duration // after the startup
	// StartupInterval is the interval during the first StartupTime of a process run, so that instances that start together
	// discover each other quickly.
	StartupInterval time.Duration
	StartupTime     time.Duration
}

// DefaultHeartbeatSchedule returns the schedule of an instance that sends a heartbeat each interval after its startup.
func DefaultHeartbeatSchedule(interval time.Duration) HeartbeatSchedule {
	return HeartbeatSchedule{Interval: interval, StartupInterval: startupInterval, StartupTime: startupTime}
}

// NextDelay returns the time until the next heartbeat of a process run of the given age.
func (s HeartbeatSchedule) NextDelay(age time.Duration) time.Duration {
	if s.IsStartingUp(age) {
		return min(s.StartupInterval, s.Interval)
	}
	return s.Interval
}

// IsStartingUp reports whether a process run of the given age is still in its startup.
func (s HeartbeatSchedule) IsStartingUp(age time.Duration) bool { return age < s.StartupTime }

// WantsFullState reports whether a process run of the given age asks an instance for its full state. It does so during its startup,
// but not in the first intervals, and not from a seed, whose name is not known yet: all instances that start together contact the
// same few then.
func (s HeartbeatSchedule) WantsFullState(age time.Duration, to Name) bool {
	return to != "" && s.IsStartingUp(age) && age >= updatesOnlyIntervals*s.StartupInterval
}
