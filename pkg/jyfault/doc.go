// Package jyfault provides the shape that the error type of each package shares.
package jyfault
