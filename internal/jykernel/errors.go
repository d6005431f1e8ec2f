package jykernel

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	Duplicate ErrorKind = "Duplicate" // another service has that name
	Missing   ErrorKind = "Missing"   // no service has that name
	WrongType ErrorKind = "WrongType" // the service is not of the requested type
	Failed    ErrorKind = "Failed"    // a service returned an error
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
