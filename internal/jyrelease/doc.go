// Package jyrelease distributes release notes: it watches the configuration service, applies notes in order, announces them to
// peers, and fetches newer state from peers. Distributor.Run passes each new state to Config.OnState.
package jyrelease
