package jyrelay

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	NoHolder    ErrorKind = "NoHolder"
	Unreachable ErrorKind = "Unreachable"
	NotSealed   ErrorKind = "NotSealed"
	MissingPart ErrorKind = "MissingPart"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
