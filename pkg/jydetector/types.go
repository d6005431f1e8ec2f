package jydetector

import "time"

// ServerName identifies a backend server of the service.
type ServerName string

// ReporterName identifies an instance that reports.
type ReporterName string

// GroupName identifies a group of reporters that may be affected by the same fault, such as those of a data centre.
type GroupName string

// Counts are the attempts of one reporter at one server. Reports hold cumulative counts since the reporter's boot.
type Counts struct {
	Attempts uint64
	Failures uint64
	Slow     uint64 // attempts with a slow answer
}

func (c Counts) minus(d Counts) Counts {
	return Counts{Attempts: c.Attempts - d.Attempts, Failures: c.Failures - d.Failures, Slow: c.Slow - d.Slow}
}

func (c Counts) plus(d Counts) Counts {
	return Counts{Attempts: c.Attempts + d.Attempts, Failures: c.Failures + d.Failures, Slow: c.Slow + d.Slow}
}

// covers reports whether c may be a later state of the cumulative counts d: no count is lower.
func (c Counts) covers(d Counts) bool {
	return c.Attempts >= d.Attempts && c.Failures >= d.Failures && c.Slow >= d.Slow
}

// isPlausible reports whether failures and slow answers each do not exceed the attempts.
func (c Counts) isPlausible() bool {
	return c.Failures <= c.Attempts && c.Slow <= c.Attempts
}

// Totals are the part of a report about one server.
type Totals struct {
	Server ServerName
	// Base are the counts in the reporter's previous report, whichever instance that report was sent to. They are used if the
	// detector has recorded no counts of the reporter for the server.
	Base     Counts
	Now      Counts // the current counts
	Draining bool   // the server announced that it leaves
}

// Report holds the totals of one reporter. The counts of a duplicate or outdated report have no effect.
type Report struct {
	Reporter ReporterName
	Group    GroupName
	Boot     uint64 // rises with each process run of the reporter
	Totals   []Totals
}

// Server describes a backend server of the service.
type Server struct {
	Name  ServerName
	Slots int
}

// Phase is the health state of a backend server.
type Phase string

// Phases of a backend server.
const (
	Healthy   Phase = "Healthy"
	Cold      Phase = "Cold"      // new, or back from Probation or Draining: gets a growing share of requests
	Ejected   Phase = "Ejected"   // gets no requests
	Probation Phase = "Probation" // gets a few idempotent requests
	Draining  Phase = "Draining"  // gets no requests: it announced that it leaves
)

// Cause is the reason for an ejection.
type Cause string

// Causes of an ejection.
const (
	Failures    Cause = "Failures"
	SlowAnswers Cause = "SlowAnswers"
	Relapse     Cause = "Relapse" // failed again on probation
)

// Verdict is the health state of a server that is not Healthy.
type Verdict struct {
	Server ServerName
	Phase  Phase
	Since  time.Time
	Until  time.Time // when the phase ends by itself; zero if it does not
	Cause  Cause     // of the last ejection or the last one withheld at the floor, if any
	Score  float64   // of the test then: a log-likelihood ratio, below 0 for a Relapse
}

// Change is a change of a server's phase or, with From equal to To, an ejection that was withheld.
type Change struct {
	Server   ServerName
	From, To Phase
	Cause    Cause   // empty unless the change is an ejection or a withheld one
	Score    float64 // as in Verdict
	Withheld WithheldReason
}

// WithheldReason is the reason why an alarm did not lead to an ejection.
type WithheldReason string

// Reasons to withhold an ejection.
const (
	NotWithheld  WithheldReason = ""
	AtFloor      WithheldReason = "AtFloor"      // the remaining Healthy servers would have fewer slots than the floor
	ServiceFault WithheldReason = "ServiceFault" // the other servers show the symptom too
)
