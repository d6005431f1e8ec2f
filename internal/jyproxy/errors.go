package jyproxy

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	Malformed ErrorKind = "Malformed" // no request for a backend server can be made of the caller's
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
