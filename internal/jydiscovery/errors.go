package jydiscovery

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package and of stores.
type ErrorKind string

// The kinds of error.
const (
	Unreachable ErrorKind = "Unreachable"
	// Compacted means that the changes since the asked revision are no longer to be had.
	Compacted ErrorKind = "Compacted"
	Malformed ErrorKind = "Malformed"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
