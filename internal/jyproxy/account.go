package jyproxy

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// KeyLease says whether this instance may serve requests with keys: a key that was taken away must not be served for long by an
// instance that has not heard of it. It may be used concurrently.
type KeyLease interface {
	// IsValid reports whether requests with keys may be served now.
	IsValid() bool
}

// AccountQuotas keeps the quotas of client accounts together with the other instances. It may be used concurrently.
type AccountQuotas interface {
	// Admit counts a request of the account and returns true, or returns false and after how long the caller should come back.
	Admit(a *jynote.Account) (ok bool, retryAfter time.Duration)
	// Return takes back an admitted request that surely did not run.
	Return(a *jynote.Account)
}
