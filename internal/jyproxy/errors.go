package jyproxy

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	Malformed  ErrorKind = "Malformed"  // the caller's request cannot be converted to one for a backend server
	NoDetour   ErrorKind = "NoDetour"   // no other instance could take the request, which did not run
	DetourLost ErrorKind = "DetourLost" // another instance took the request, but returned no complete answer
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
