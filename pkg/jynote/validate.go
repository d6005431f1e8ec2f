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
	MaxDeadlineMilliseconds = 600_000 // of deadlines, timeouts and latency objectives
	MaxSlots                = 10_000  // of slots and floors
	MaxConnections          = 100_000 // of the whole fleet to one backend server
	MaxBodyBytesLimit       = 1 << 30
	MaxServerDays           = 1_000_000 // per false ejection
	MaxAttemptsLimit        = 10
	MaxPriority             = 100
	MaxWeight               = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

var knownMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// Validate returns the faults that do not depend on the state that the note applies to, in the order of its fields.
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
	return len(e.Services)+len(e.BackendServers)+len(e.Routes)+len(e.Accounts) == 0
}

func (n Names) isEmpty() bool {
	return len(n.Services)+len(n.BackendServers)+len(n.Routes)+len(n.Accounts) == 0
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
	for i, a := range e.Accounts {
		a.validate(fmt.Sprintf("%s.Accounts[%d]", part, i), fs)
	}
}

func (s Service) validate(location string, fs *Faults) {
	checkName(location+".Name", string(s.Name), fs)
	checkRange(location+".Floor", s.Floor, 0, MaxSlots, fs)
	checkRange(location+".DeadlineMilliseconds", s.DeadlineMilliseconds, 1, MaxDeadlineMilliseconds, fs)
	checkMethods(location+".IdempotentMethods", s.IdempotentMethods, fs)
	if s.ServerDaysPerFalseEjection < 1 || s.ServerDaysPerFalseEjection > MaxServerDays {
		fs.add(location+".ServerDaysPerFalseEjection", "1 to 1000000", "%g", s.ServerDaysPerFalseEjection)
	}
	if s.MaxBodyBytes < 0 || s.MaxBodyBytes > MaxBodyBytesLimit {
		fs.add(location+".MaxBodyBytes", "0 to 1073741824", "%d", s.MaxBodyBytes)
	}
	if s.Objective.SuccessShare <= 0 || s.Objective.SuccessShare >= 1 {
		fs.add(location+".Objective.SuccessShare", "above 0 and below 1", "%g", s.Objective.SuccessShare)
	}
	checkRange(location+".Objective.LatencyMilliseconds", s.Objective.LatencyMilliseconds, 1, MaxDeadlineMilliseconds, fs)
	for i, m := range s.NotRunMarks {
		if m.IsZero() {
			fs.add(fmt.Sprintf("%s.NotRunMarks[%d]", location, i), "a Status, a Header, or both", "empty mark")
		}
	}
}

func (b BackendServer) validate(location string, fs *Faults) {
	checkName(location+".Name", string(b.Name), fs)
	checkName(location+".Service", string(b.Service), fs)
	checkName(location+".DataCentre", string(b.DataCentre), fs)
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		fs.add(location+".Address", "an IP number and a port", "%q", b.Address)
	}
	checkRange(location+".Slots", b.Slots, 1, MaxSlots, fs)
	checkRange(location+".Connections", b.Connections, 1, MaxConnections, fs)
}

func (r Route) validate(location string, fs *Faults) {
	checkName(location+".Name", string(r.Name), fs)
	r.validateServices(location, fs)
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.HasPrefix(r.PathPrefix, ReservedPrefix) {
		fs.add(location+".PathPrefix", "starts with / and not with "+ReservedPrefix, "%q", r.PathPrefix)
	}
	checkMethods(location+".Methods", r.Methods, fs)
	checkRange(location+".TimeoutMilliseconds", r.TimeoutMilliseconds, 0, MaxDeadlineMilliseconds, fs)
	checkRange(location+".ObjectiveMilliseconds", r.ObjectiveMilliseconds, 0, MaxDeadlineMilliseconds, fs)
	checkRange(location+".MaxAttempts", r.MaxAttempts, 0, MaxAttemptsLimit, fs)
	checkRange(location+".Priority", r.Priority, 0, MaxPriority, fs)
}

func (r Route) validateServices(location string, fs *Faults) {
	if len(r.Split) == 0 {
		checkName(location+".Service", string(r.Service), fs)
		return
	}
	if r.Service != "" {
		fs.add(location+".Service", "Service or Split", "both are given")
	}
	for i, s := range r.Split {
		part := fmt.Sprintf("%s.Split[%d]", location, i)
		checkName(part+".Service", string(s.Service), fs)
		checkRange(part+".Weight", s.Weight, 1, MaxWeight, fs)
	}
}

// ReservedPrefix is the prefix of the paths that instances answer themselves, which no route may use.
const ReservedPrefix = "/.jackdawyard/"

func checkName(location, name string, fs *Faults) {
	if !namePattern.MatchString(name) {
		fs.add(location, "1 to 128 letters, digits, dots, dashes and underscores", "%q", name)
	}
}

func checkRange(location string, v, low, high int, fs *Faults) {
	if v < low || v > high {
		fs.add(location, fmt.Sprintf("%d to %d", low, high), "%d", v)
	}
}

func checkMethods(location string, methods []string, fs *Faults) {
	for _, m := range methods {
		if !slices.Contains(knownMethods, m) {
			fs.add(location, strings.Join(knownMethods, " "), "%q", m)
		}
	}
}
