// Package jyfault provides the error type that the other packages share, each with its own kinds of error.
//
// A package declares a string type with its kinds and an alias of Error for that type. Callers find the kind with errors.As.
package jyfault
