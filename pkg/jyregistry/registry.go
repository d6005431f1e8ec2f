package jyregistry

import (
	"slices"
	"strings"
	"time"
)

// Config sets up a Registry.
type Config struct {
	// GracePeriod is how long a lapsed server may take to register again after an outage of the store ended; 0 means that no
	// lapsed server is kept.
	GracePeriod time.Duration
	// ConfirmPeriod is how long a removed registration that a restored store brings back is not used, unless the server renews it.
	// The store must remove the registration of a server that is gone within this time.
	ConfirmPeriod time.Duration
}

// removalMemory is how long a removal is remembered: longer than the age of any copy from which a store is restored.
const removalMemory = 10 * time.Minute

// Registry holds the registrations of backend servers. It is not safe for concurrent use.
type Registry struct {
	config           Config
	entries          map[ID]*entry
	removals         map[ID]removal
	restorations     int // of the store
	storeUnavailable bool
	recoveredAt      time.Time // when the last outage of the store ended
}

// removal records a registration that the store removed.
type removal struct {
	registration Registration
	at           time.Time
	restorations int // of the store until then
}

type entry struct {
	registration Registration
	receivedAt   time.Time
	// lapsed is set if the store removed the registration, maybe because the outage kept the server from renewing it.
	lapsed bool
	// unconfirmed is set if a restored store brought a removed registration back.
	unconfirmed bool
}

// Server is a registered server that may get requests.
type Server struct {
	Registration
	// ColdUntil is when the server is no longer slow after its start.
	ColdUntil time.Time
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{config: c, entries: map[ID]*entry{}, removals: map[ID]removal{}}
}

// MarkStoreUnavailable records that the store cannot be read. The next Apply, Put, Remove or Replace ends the outage.
func (r *Registry) MarkStoreUnavailable() { r.storeUnavailable = true }

// MarkStoreRestored records that the store came back from a copy. Registrations made since the copy are missing there until their
// servers make them again, as after an outage, and those removed since are back.
func (r *Registry) MarkStoreRestored() {
	r.restorations++
	r.storeUnavailable = true
}

// markStoreAvailable records that the store can be read.
func (r *Registry) markStoreAvailable(now time.Time) {
	if r.storeUnavailable {
		r.storeUnavailable, r.recoveredAt = false, now
	}
}

// Put records a registration from the store, unless a more recent one is recorded. The server is then no longer lapsed.
func (r *Registry) Put(now time.Time, in Registration) {
	r.markStoreAvailable(now)
	old := r.entries[in.ID]
	if old != nil && !in.supersedes(old.registration) {
		return
	}
	if old != nil && old.unconfirmed && in == old.registration {
		return
	}
	e := &entry{registration: in, receivedAt: now}
	if last, isBack := r.restoredRemoval(in); isBack {
		if last.State == Draining || in.Incarnation < last.Incarnation {
			return
		}
		e.unconfirmed = true
	}
	r.entries[in.ID] = e
}

// restoredRemoval returns the registration of a server as it was removed, if in is no later one that a restored store brought back.
func (r *Registry) restoredRemoval(in Registration) (last Registration, isBack bool) {
	removed, known := r.removals[in.ID]
	if !known || removed.restorations == r.restorations || in.isLaterThan(removed.registration) {
		return Registration{}, false
	}
	return removed.registration, true
}

// Remove records that the store no longer contains a registration. In the grace period after an outage, a ready server is kept
// as lapsed.
func (r *Registry) Remove(now time.Time, id ID) {
	r.markStoreAvailable(now)
	e := r.entries[id]
	if e == nil {
		return
	}
	if r.isInGracePeriod(now) && e.registration.State == Ready {
		e.lapsed = true
		return
	}
	r.delete(now, id)
}

// delete removes an entry, and remembers its registration.
func (r *Registry) delete(now time.Time, id ID) {
	r.removals[id] = removal{registration: r.entries[id].registration, at: now, restorations: r.restorations}
	delete(r.entries, id)
}

// Replace records the result of a full read of the store: it puts all registrations, and removes the others as Remove does.
func (r *Registry) Replace(now time.Time, all []Registration) {
	r.markStoreAvailable(now)
	stored := make(map[ID]bool, len(all))
	for _, in := range all {
		stored[in.ID] = true
		r.Put(now, in)
	}
	for id := range r.entries {
		if !stored[id] {
			r.Remove(now, id)
		}
	}
}

// isInGracePeriod reports whether lapsed servers may still register again after an outage.
func (r *Registry) isInGracePeriod(now time.Time) bool {
	return !r.recoveredAt.IsZero() && now.Before(r.recoveredAt.Add(r.config.GracePeriod))
}

// UntilExpiry returns how long until Expire may change a lapsed or unconfirmed server, and whether there is any.
func (r *Registry) UntilExpiry(now time.Time) (time.Duration, bool) {
	var first time.Time
	for _, e := range r.entries {
		due, isDue := r.due(e)
		if isDue && (first.IsZero() || due.Before(first)) {
			first = due
		}
	}
	return max(0, first.Sub(now)), !first.IsZero()
}

// due returns when a lapsed or unconfirmed entry is over, and whether it is one.
func (r *Registry) due(e *entry) (time.Time, bool) {
	switch {
	case e.lapsed:
		return r.recoveredAt.Add(r.config.GracePeriod), true
	case e.unconfirmed:
		return e.receivedAt.Add(r.config.ConfirmPeriod), true
	}
	return time.Time{}, false
}

// Expire removes the lapsed servers once the grace period is over, and uses the unconfirmed ones that the store still holds after
// the confirm period, unless the store is unavailable again. It reports whether it changed any.
func (r *Registry) Expire(now time.Time) bool {
	if r.storeUnavailable {
		return false
	}
	changed := false
	for id, e := range r.entries {
		due, isDue := r.due(e)
		if !isDue || now.Before(due) {
			continue
		}
		if e.lapsed {
			r.delete(now, id)
		}
		e.unconfirmed, changed = false, true
	}
	r.forgetRemovals(now)
	return changed
}

func (r *Registry) forgetRemovals(now time.Time) {
	for id, v := range r.removals {
		if now.Sub(v.at) > removalMemory {
			delete(r.removals, id)
		}
	}
}

// Servers returns the ready servers, sorted by ID.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		if e.registration.State != Ready || e.unconfirmed {
			continue
		}
		out = append(out, Server{Registration: e.registration, ColdUntil: e.receivedAt.Add(e.registration.ColdFor)})
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
