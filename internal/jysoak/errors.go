package jysoak

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// NotStarted means that a process, a listener or a file of the soak could not be set up.
const (
	NotStarted ErrorKind = "NotStarted"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
