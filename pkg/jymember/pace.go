package jymember

import "time"

const (
	// meetingInterval and meetingTime let a few hundred instances that start together meet within a second.
	meetingInterval = 100 * time.Millisecond
	meetingTime     = 2 * time.Second
)

// Pace says how often an instance sends heartbeats.
type Pace struct {
	Interval time.Duration
	// Meeting is the interval during the first MeetingTime of a run, so that instances that start together meet at once.
	Meeting     time.Duration
	MeetingTime time.Duration
}

// DefaultPace returns the pace of an instance that sends a heartbeat each interval once it has met the others.
func DefaultPace(interval time.Duration) Pace {
	return Pace{Interval: interval, Meeting: meetingInterval, MeetingTime: meetingTime}
}

// Next returns the time until the next heartbeat of a run of the given age.
func (p Pace) Next(age time.Duration) time.Duration {
	if p.IsMeeting(age) {
		return min(p.Meeting, p.Interval)
	}
	return p.Interval
}

// IsMeeting reports whether a run of the given age asks each instance for all that it knows.
func (p Pace) IsMeeting(age time.Duration) bool { return age < p.MeetingTime }
