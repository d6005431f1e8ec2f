package jymember

import "time"

const (
	// meetingInterval and meetingTime let a few hundred instances that start together meet within a second.
	meetingInterval = 100 * time.Millisecond
	meetingTime     = 2 * time.Second
	// firstNews is the number of heartbeats that ask for news only, so that an instance has met many before it asks one for all.
	firstNews = 3
)

// HeartbeatSchedule says how often an instance sends heartbeats.
type HeartbeatSchedule struct {
	Interval time.Duration
	// StartupInterval is the interval during the first MeetingTime of a run, so that instances that start together meet at once.
	StartupInterval time.Duration
	StartupTime     time.Duration
}

// DefaultHeartbeatSchedule returns the pace of an instance that sends a heartbeat each interval once it has met the others.
func DefaultHeartbeatSchedule(interval time.Duration) HeartbeatSchedule {
	return HeartbeatSchedule{Interval: interval, StartupInterval: meetingInterval, StartupTime: meetingTime}
}

// NextDelay returns the time until the next heartbeat of a run of the given age.
func (p HeartbeatSchedule) NextDelay(age time.Duration) time.Duration {
	if p.IsStartingUp(age) {
		return min(p.StartupInterval, p.Interval)
	}
	return p.Interval
}

// IsStartingUp reports whether a run of the given age is meeting the others.
func (p HeartbeatSchedule) IsStartingUp(age time.Duration) bool { return age < p.StartupTime }

// WantsFullState reports whether a run of the given age asks an instance for all that it knows. A seed, whose name is not
// known yet, and those that are met first are asked for their news only: all that start together ask the same few.
func (p HeartbeatSchedule) WantsFullState(age time.Duration, to Name) bool {
	return to != "" && p.IsStartingUp(age) && age >= firstNews*p.StartupInterval
}
