// Package jyquantile estimates a quantile of a stream in constant memory.
package jyquantile
