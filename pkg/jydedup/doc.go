// Package jydedup ensures that the request of each request id runs at most once: an id names the one process that may start
// its request.
//
// A Ledger belongs to one process. It issues request ids, and it alone decides whether the request of an id that it issued
// may start. No other process ever starts that request, so it cannot run twice even if instances disagree about the
// membership. During a graceful shutdown, a Ledger can hand its ids over to one successor, which then decides in its place.
//
// Start with NewLedger. Call Issue for each new id, Begin when a request with an id arrives, and Finish once a request that
// Begin let start has ended. Call DropExpired from time to time.
package jydedup
