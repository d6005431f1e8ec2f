// Package jyring provides the bounded ring that joins the goroutines of a process.
package jyring
