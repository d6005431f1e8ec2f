package jynote

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Limits of the fields of a release note.
const (
	MaxDeadlineMilliseconds = 600_000
	MaxSlots                = 10_000
	MaxConnections          = 100_000
	MaxBodyBytesLimit       = 1 << 30
	MaxServerDays           = 1_000_000
	MaxAttemptsLimit        = 10
	MaxPriority             = 100
	MaxWeight               = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

var knownMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Validate returns the faults that show in the note by itself, in the order of the document.
func Validate(n Note) Faults {
	var fs Faults
	if n.Number == 0 {
		fs.add("Number", "1 or more", "0")
	}
	if n.Base && (!n.Changed.isEmpty() || !n.Withdrawn.isEmpty()) {
		fs.add("Base", "a base note has only Added", "Changed or Withdrawn is present")
	}
	n.Added.validate("Added", &fs)
	n.Changed.validate("Changed", &fs)
	return fs
}

func (e Entries) isEmpty() bool {
	return len(e.Services)+len(e.BackendServers)+len(e.Routes) == 0
}

func (n EntryNames) isEmpty() bool {
	return len(n.Services)+len(n.BackendServers)+len(n.Routes) == 0
}

func (e Entries) validate(part string, fs *Faults) {
	for i, s := range e.Services {
		s.validate(fmt.Sprintf("%s.Services[%d]", part, i), fs)
	}
	for i, b := range e.BackendServers {
		b.validate(fmt.Sprintf("%s.BackendServers[%d]", part, i), fs)
	}
	for i, r := range e.Routes {
		r.validate(fmt.Sprintf("%s.Routes[%d]", part, i), fs)
	}
}

func (s Service) validate(place string, fs *Faults) {
	checkName(place+".Name", string(s.Name), fs)
	checkRange(place+".Floor", s.Floor, 0, MaxSlots, fs)
	checkRange(place+".DeadlineMilliseconds", s.DeadlineMilliseconds, 1, MaxDeadlineMilliseconds, fs)
	checkMethods(place+".IdempotentMethods", s.IdempotentMethods, fs)
	if s.ServerDaysPerFalseEjection < 1 || s.ServerDaysPerFalseEjection > MaxServerDays {
		fs.add(place+".ServerDaysPerFalseEjection", "1 to 1000000", "%g", s.ServerDaysPerFalseEjection)
	}
	if s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyBytesLimit {
		fs.add(place+".MaxBodyBytes", "0 to 1073741824", "%d", s.MaxBodyBytes)
	}
	if s.Objective.SuccessShare <= 0 || s.Objective.SuccessShare >= 1 {
		fs.add(place+".Objective.SuccessShare", "above 0 and below 1", "%g", s.Objective.SuccessShare)
	}
	checkRange(place+".Objective.LatencyMilliseconds", s.Objective.LatencyMilliseconds, 1, MaxDeadlineMilliseconds, fs)
	for i, m := range s.NotRunMarks {
		if m.IsZero() {
			fs.add(fmt.Sprintf("%s.NotRunMarks[%d]", place, i), "a Status, a Header, or both", "empty mark")
		}
	}
}

func (b BackendServer) validate(place string, fs *Faults) {
	checkName(place+".Name", string(b.Name), fs)
	checkName(place+".Service", string(b.Service), fs)
	checkName(place+".DataCentre", string(b.DataCentre), fs)
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		fs.add(place+".Address", "an IP number and a port", "%q", b.Address)
	}
	checkRange(place+".Slots", b.Slots, 1, MaxSlots, fs)
	checkRange(place+".Connections", b.Connections, 1, MaxConnections, fs)
}

func (r Route) validate(place string, fs *Faults) {
	checkName(place+".Name", string(r.Name), fs)
	r.validateServices(place, fs)
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.HasPrefix(r.PathPrefix, ReservedPrefix) {
		fs.add(place+".PathPrefix", "starts with / and not with "+ReservedPrefix, "%q", r.PathPrefix)
	}
	checkMethods(place+".Methods", r.Methods, fs)
	checkRange(place+".TimeoutMilliseconds", r.TimeoutMilliseconds, 0, MaxDeadlineMilliseconds, fs)
	checkRange(place+".ObjectiveMilliseconds", r.ObjectiveMilliseconds, 0, MaxDeadlineMilliseconds, fs)
	checkRange(place+".MaxAttempts", r.MaxAttempts, 0, MaxAttemptsLimit, fs)
	checkRange(place+".Priority", r.Priority, 0, MaxPriority, fs)
}

func (r Route) validateServices(place string, fs *Faults) {
	if len(r.Split) == 0 {
		checkName(place+".Service", string(r.Service), fs)
		return
	}
	if r.Service != "" {
		fs.add(place+".Service", "Service or Split", "both are given")
	}
	for i, s := range r.Split {
		part := fmt.Sprintf("%s.Split[%d]", place, i)
		checkName(part+".Service", string(s.Service), fs)
		checkRange(part+".Weight", s.Weight, 1, MaxWeight, fs)
	}
}

// ReservedPrefix starts the paths that the instances answer themselves.
const ReservedPrefix = "/.jackdawyard/"

func checkName(place, name string, fs *Faults) {
	if !namePattern.MatchString(name) {
		fs.add(place, "1 to 128 letters, digits, dots, dashes and underscores", "%q", name)
	}
}

func checkRange(place string, v, low, high int, fs *Faults) {
	if v < low || v > high {
		fs.add(place, fmt.Sprintf("%d to %d", low, high), "%d", v)
	}
}

func checkMethods(place string, methods []string, fs *Faults) {
	for _, m := range methods {
		if !slices.Contains(knownMethods, m) {
			fs.add(place, strings.Join(knownMethods, " "), "%q", m)
		}
	}
}
