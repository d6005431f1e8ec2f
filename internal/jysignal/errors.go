package jysignal

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	NoAddress ErrorKind = "NoAddress" // the UDP address is malformed or cannot be bound
	Malformed ErrorKind = "Malformed" // not in use
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
