package jyrelay

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The error kinds.
const (
	NoHolder    ErrorKind = "NoHolder"    // no other instance owns the ids, or accepts them
	Unreachable ErrorKind = "Unreachable" // a call to a peer failed
	NotSealed   ErrorKind = "NotSealed"   // the ledger is not sealed, or a request is running
	MissingPart ErrorKind = "MissingPart" // an earlier part of a hand-over did not arrive
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
