package jynode

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	NoRandomness ErrorKind = "NoRandomness" // the source of random bytes failed
	NoAddress    ErrorKind = "NoAddress"    // an address is invalid, or cannot be listened on
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
