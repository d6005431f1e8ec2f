package jypeer

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	Unreachable ErrorKind = "Unreachable" // the address for peers cannot be listened on or served
	Malformed   ErrorKind = "Malformed"   // not in use
	BadKeys     ErrorKind = "BadKeys"     // a certificate or key file cannot be loaded
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
