// Package jyquota keeps a fleet within the limits that backend servers state, in requests per second of all instances together.
//
// ParseRate reads a stated limit, and a Statement holds what a server last said about it.
package jyquota
