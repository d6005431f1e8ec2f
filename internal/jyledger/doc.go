// Package jyledger makes the request-id ledger of this process safe for concurrent use, and lets resends wait for a running
// request.
package jyledger
