package jyload

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	Unreachable ErrorKind = "Unreachable" // the counts of a backend server cannot be read
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
