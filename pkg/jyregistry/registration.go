package jyregistry

import (
	"fmt"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// ID is the identity under which a server registers; a server that starts again may keep it.
type ID string

// Incarnation tells the starts of a server with the same identity apart: the Unix millisecond of the start, 0 if unknown.
type Incarnation int64

// State is what a server says of itself.
type State string

// The states of a server.
const (
	Ready    State = "Ready"
	Draining State = "Draining"
)

// Registration is what a server says of itself.
type Registration struct {
	ID          ID
	Incarnation Incarnation
	Service     jynote.ServiceName
	Address     string
	DataCentre  jynote.DataCentreName
	Slots       int
	State       State
	// Sequence rises with each statement of an incarnation.
	Sequence int64
	// ColdFor is how long the server stays slow after its start, as of the statement.
	ColdFor time.Duration
}

// Name returns a name that no other start of the server has.
func (r Registration) Name() jynote.ServerName {
	return jynote.ServerName(fmt.Sprintf("%s-%d", r.ID, r.Incarnation))
}

// supersedes reports whether r was stated later than old, which the order of arrival does not tell.
func (r Registration) supersedes(old Registration) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence >= old.Sequence
}
