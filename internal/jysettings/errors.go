package jysettings

import "github.com/jackdawyard/jackdawyard/pkg/jyfault"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// The kinds of error.
const (
	// Unreadable means that the settings file could not be read.
	Unreadable ErrorKind = "Unreadable"
	// Malformed means that the text is not in INI syntax.
	Malformed ErrorKind = "Malformed"
)

// Error is the error type of this package.
type Error = jyfault.Error[ErrorKind]
