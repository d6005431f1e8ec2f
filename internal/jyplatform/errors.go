package jyplatform

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	Unreachable ErrorKind = "Unreachable" // no answer, or one with an unexpected status
	Missing     ErrorKind = "Missing"     // the path does not exist
	Malformed   ErrorKind = "Malformed"   // an invalid URL or answer
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
