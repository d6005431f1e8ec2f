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
}

// Registry holds the registrations of backend servers. It is not safe for concurrent use.
type Registry struct {
	config           Config
	entries          map[ID]*entry
	storeUnavailable bool
	recoveredAt      time.Time // when the last outage of the store ended
}

type entry struct {
	registration Registration
	receivedAt   time.Time
	// lapsed is set if the store removed the registration, maybe because the outage kept the server from renewing it.
	lapsed bool
}

// Server is a registered server that may get requests.
type Server struct {
	Registration
	// ColdUntil is when the server is no longer slow after its start.
	ColdUntil time.Time
}

// New returns an empty registry.
func New(c Config) *Registry { return &Registry{config: c, entries: map[ID]*entry{}} }

// MarkStoreUnavailable records that the store cannot be read. The next Put, Remove or Replace ends the outage.
func (r *Registry) MarkStoreUnavailable() { r.storeUnavailable = true }

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
	r.entries[in.ID] = &entry{registration: in, receivedAt: now}
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

// UntilExpiry returns how long lapsed servers may still take to register again, and whether there are any.
func (r *Registry) UntilExpiry(now time.Time) (time.Duration, bool) {
	for _, e := range r.entries {
		if e.lapsed {
			return max(0, r.recoveredAt.Add(r.config.GracePeriod).Sub(now)), true
		}
	}
	return 0, false
}

// Expire removes the lapsed servers once the grace period is over, unless the store is unavailable again. It reports whether it
// removed any.
func (r *Registry) Expire(now time.Time) bool {
	if r.storeUnavailable || r.isInGracePeriod(now) {
		return false
	}
	before := len(r.entries)
	for id, e := range r.entries {
		if e.lapsed {
			delete(r.entries, id)
		}
	}
	return len(r.entries) < before
}

// Servers returns the ready servers, sorted by ID.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		if e.registration.State != Ready {
			continue
		}
		out = append(out, Server{Registration: e.registration, ColdUntil: e.receivedAt.Add(e.registration.ColdFor)})
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
