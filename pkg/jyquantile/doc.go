// Package jyquantile estimates a quantile of a stream in constant memory.
//
// Start with New, pass each observation to Add, and read the estimate from Value.
package jyquantile
