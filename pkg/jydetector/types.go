package jydetector

import "time"

// ServerName identifies a backend server of the service.
type ServerName string

// ReporterName identifies an instance that reports.
type ReporterName string

// GroupName identifies what reporters share a fate with, such as their data centre.
type GroupName string

// Counts are cumulative counts of one reporter about one server since the reporter's boot.
type Counts struct {
	Attempts uint64
	Failures uint64
	Slow     uint64
}

func (c Counts) minus(d Counts) Counts {
	return Counts{Attempts: c.Attempts - d.Attempts, Failures: c.Failures - d.Failures, Slow: c.Slow - d.Slow}
}

func (c Counts) plus(d Counts) Counts {
	return Counts{Attempts: c.Attempts + d.Attempts, Failures: c.Failures + d.Failures, Slow: c.Slow + d.Slow}
}

// covers reports whether c can be a later count than d.
func (c Counts) covers(d Counts) bool {
	return c.Attempts >= d.Attempts && c.Failures >= d.Failures && c.Slow >= d.Slow
}

// isPlausible reports whether the parts fit into the attempts.
func (c Counts) isPlausible() bool {
	return c.Failures <= c.Attempts && c.Slow <= c.Attempts
}

// Totals are what a report says of one server.
type Totals struct {
	Server ServerName
	// Base are the counts of the report before this one, to whomever it went.
	Base     Counts
	Now      Counts
	Draining bool
}

// Report is one reporter's message; a repeated or reordered one changes nothing.
type Report struct {
	Reporter ReporterName
	Group    GroupName
	Boot     uint64 // rises with each boot of the reporter
	Totals   []Totals
}

// Server describes a backend server of the service.
type Server struct {
	Name  ServerName
	Slots int
}

// Phase is the standing of a backend server.
type Phase string

// The phases.
const (
	Healthy   Phase = "Healthy"
	Cold      Phase = "Cold"      // new or just returned: takes a share that grows
	Ejected   Phase = "Ejected"   // takes nothing
	Probation Phase = "Probation" // takes a trickle of idempotent requests
	Draining  Phase = "Draining"  // takes nothing: it is leaving by its own word
)

// Cause says which test raised an alarm.
type Cause string

// The causes of an ejection.
const (
	Failures    Cause = "Failures"
	SlowAnswers Cause = "SlowAnswers"
	Relapse     Cause = "Relapse" // failed again on probation
)

// Verdict is the standing of a server that is not Healthy.
type Verdict struct {
	Server ServerName
	Phase  Phase
	Since  time.Time
	Until  time.Time // when the phase ends by itself; zero if it does not
	Cause  Cause
	Score  float64
}

// Change is a transition of one server, or an ejection that was withheld.
type Change struct {
	Server   ServerName
	From, To Phase
	Cause    Cause
	Score    float64
	Withheld WithheldReason
}

// WithheldReason says why an alarm led to no ejection.
type WithheldReason string

// The reasons to withhold an ejection.
const (
	NotWithheld  WithheldReason = ""
	AtFloor      WithheldReason = "AtFloor"
	ServiceFault WithheldReason = "ServiceFault"
)
