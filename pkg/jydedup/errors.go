package jydedup

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	Malformed ErrorKind = "Malformed" // a text is not a request id
	Misused   ErrorKind = "Misused"   // a method of a Ledger was called in the wrong state
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
