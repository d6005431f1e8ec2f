package jyregistry

import "time"

// Event is one change of a registration in the store.
type Event struct {
	ID ID
	// Registration is the new registration; nil if the store removed it, or holds nothing there that names a server.
	Registration *Registration `json:",omitempty"`
}

// Registered returns the event of a new or changed registration.
func Registered(r Registration) Event { return Event{ID: r.ID, Registration: &r} }

// Removed returns the event of a removal.
func Removed(id ID) Event { return Event{ID: id} }

// Apply records an answer of the store: its changes, of which there may be none, in the order in which the store made them. It ends an
// outage.
func (r *Registry) Apply(now time.Time, events []Event) {
	r.markStoreAvailable(now)
	for _, e := range events {
		if e.Registration == nil {
			r.Remove(now, e.ID)
			continue
		}
		r.Put(now, *e.Registration)
	}
}
