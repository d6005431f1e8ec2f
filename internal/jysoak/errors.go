package jysoak

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	NotStarted ErrorKind = "NotStarted"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
