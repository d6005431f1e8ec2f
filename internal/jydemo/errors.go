package jydemo

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	BadSettings ErrorKind = "BadSettings" // the settings of an instance are not valid
	TimedOut    ErrorKind = "TimedOut"    // a note was not applied, or the gray server not ejected, everywhere in time
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
