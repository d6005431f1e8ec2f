// Package jyquota keeps a fleet within the limits that backend servers state, in requests per second of all instances together.
//
// ParseRate reads a stated limit, and a Statement holds what a server last said about it. Sharers selects the instances that count,
// and ShareOf divides a limit among a few of them. Each of these spends its share through a Bucket. Returns spreads the callers that
// are rejected since no server has room.
package jyquota
