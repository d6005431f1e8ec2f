// Package jyregistry records which backend servers are registered in a store, and keeps them while the store is unavailable and
// for a grace period after that.
//
// Start with New. Pass a full read of the store to Replace and each later answer to Apply, also one without changes. Call
// MarkStoreUnavailable when a read fails, MarkStoreRestored before the first read of a store that came back from a copy, and Expire
// after the time that UntilExpiry returns.
package jyregistry
