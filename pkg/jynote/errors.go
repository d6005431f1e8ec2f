package jynote

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	Malformed  ErrorKind = "Malformed"  // not the JSON of a note or state, or longer than MaxNoteBytes
	Invalid    ErrorKind = "Invalid"    // a note with faults
	OutOfOrder ErrorKind = "OutOfOrder" // a conflicting number, or too many waiting notes
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
