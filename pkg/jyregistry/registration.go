package jyregistry

import (
	"fmt"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// ID is the identity under which a server registers. A server that restarts may keep it.
type ID string

// Incarnation distinguishes the process runs of a server with the same ID: the start of the run in Unix milliseconds, 0 if unknown.
type Incarnation int64

// State is the state that a server declares in its registration.
type State string

// The states of a server: only a ready one gets requests.
const (
	Ready    State = "Ready"
	Draining State = "Draining"
)

// Registration is what a server declares about itself in the store.
type Registration struct {
	ID          ID
	Incarnation Incarnation
	Service     jynote.ServiceName
	Address     string // IP address and port
	DataCentre  jynote.DataCentreName
	Slots       int // number of requests that the server runs concurrently
	State       State
	// Sequence rises with each update of the registration by the same incarnation.
	Sequence int64
	// ColdFor is how long the server will still be slow after its start, counted from the receipt of this registration.
	ColdFor time.Duration
}

// Name returns the server's name, such as "server-1-1700000000000", which is different for each incarnation.
func (r Registration) Name() jynote.ServerName {
	return jynote.ServerName(fmt.Sprintf("%s-%d", r.ID, r.Incarnation))
}

// isLaterThan reports whether the server made r after old.
func (r Registration) isLaterThan(old Registration) bool { return !old.supersedes(r) }

// supersedes reports whether r is at least as recent as old, whatever the order in which they arrived.
func (r Registration) supersedes(old Registration) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence >= old.Sequence
}
