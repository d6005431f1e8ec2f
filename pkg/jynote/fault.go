package jynote

import (
	"fmt"
	"strings"
)

// Fault describes one invalid part of a release note: its location, the problem, and what is allowed there.
type Fault struct {
	Location string
	Problem  string
	Allowed  string
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s (allowed: %s)", f.Location, f.Problem, f.Allowed)
}

// Faults is an error that lists all faults of a release note.
type Faults []Fault

// Error returns all faults, separated by semicolons.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "; ")
}

func (fs *Faults) add(location, allowed, format string, args ...any) {
	*fs = append(*fs, Fault{Location: location, Allowed: allowed, Problem: fmt.Sprintf(format, args...)})
}
