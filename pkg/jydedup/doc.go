// Package jydedup decides at-most-once execution: request ids name the one process that may start their request.
//
// A Ledger belongs to one process. It issues request ids, and it alone decides whether the request of an id that it
// issued may start. No other process ever starts that request, whatever the membership looks like, so two views of
// the fleet cannot lead to two executions. A Ledger can hand its ids to one successor during graceful shutdown.
package jydedup
