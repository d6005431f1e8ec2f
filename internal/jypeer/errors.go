package jypeer

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	Unreachable ErrorKind = "Unreachable"
	Malformed   ErrorKind = "Malformed"
	BadKeys     ErrorKind = "BadKeys"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
