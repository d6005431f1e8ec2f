package jybackend

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	ConnectFailed ErrorKind = "ConnectFailed" // no connection could be opened, so nothing was sent
	Exhausted     ErrorKind = "Exhausted"     // all connections that the pool may open are in use, or the pool is closed
	NoServer      ErrorKind = "NoServer"      // no server may get the request
	Lost          ErrorKind = "Lost"          // the exchange failed, and the server may have run the request
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
