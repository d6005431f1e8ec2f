// Package jyledger runs the request-id ledger of this process and lets resends wait for the request that runs.
package jyledger
