package jycapacity

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	Malformed ErrorKind = "Malformed" // the output of the benchmarks cannot be read
	Missing   ErrorKind = "Missing"   // the output lacks a benchmark or a unit that the page needs
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
