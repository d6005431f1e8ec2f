package jybackend

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	ConnectFailed ErrorKind = "ConnectFailed" // nothing was sent
	Exhausted     ErrorKind = "Exhausted"     // this instance's share of connections is in use
	NoServer      ErrorKind = "NoServer"      // no server may get the request
	Lost          ErrorKind = "Lost"          // the request may have run
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
