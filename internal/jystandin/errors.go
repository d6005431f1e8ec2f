package jystandin

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	// Unreachable means that an address could not be listened on, or that serving failed.
	Unreachable ErrorKind = "Unreachable"
	// Malformed means that a file or an argument could not be read or parsed.
	Malformed ErrorKind = "Malformed"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
