package jydiscovery

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package and of stores.
type ErrorKind string

// The error kinds.
const (
	// Unreachable means that the store, or the store of a feed source, could not be read.
	Unreachable ErrorKind = "Unreachable"
	// Compacted means that the changes since the requested revision are not kept any more; a full read is needed.
	Compacted ErrorKind = "Compacted"
	// Restored means that the store came back from a copy, so that answers from before and after it cannot be combined; a full read
	// is needed.
	Restored ErrorKind = "Restored"
	// Malformed means that a URL or an answer of the store is invalid.
	Malformed ErrorKind = "Malformed"
	// OtherFormat means that an instance sent a configuration whose Format is not ConfigurationFormat.
	OtherFormat ErrorKind = "OtherFormat"
	// Unproven means that a feed source sent no proof although a lease needs one.
	Unproven ErrorKind = "Unproven"
	// Outdated means that the last confirmation of a feed source is too old.
	Outdated ErrorKind = "Outdated"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
