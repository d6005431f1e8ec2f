package jykernel

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	Duplicate ErrorKind = "Duplicate"
	Missing   ErrorKind = "Missing"
	WrongType ErrorKind = "WrongType"
	Failed    ErrorKind = "Failed"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
