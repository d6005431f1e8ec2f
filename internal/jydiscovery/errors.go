package jydiscovery

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package and of stores.
type ErrorKind string

// The error kinds.
const (
	Unreachable ErrorKind = "Unreachable"
	// Compacted means that the changes since the requested revision are not kept any more; a full read is needed.
	Compacted ErrorKind = "Compacted"
	Malformed ErrorKind = "Malformed"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
