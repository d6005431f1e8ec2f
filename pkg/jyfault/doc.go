// Package jyfault provides the error type that the other packages share, each with its own kinds of error.
package jyfault
