package jysignal

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Error kinds.
const (
	NoAddress ErrorKind = "NoAddress"
	Malformed ErrorKind = "Malformed"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
