package jyregistry

import (
	"slices"
	"strings"
	"time"
)

// Config sets up a Registry.
type Config struct {
	// GracePeriod is how long after an outage of the store a server that lapsed meanwhile may take to register again.
	GracePeriod time.Duration
}

// Registry holds the registrations; it is not safe for concurrent use.
type Registry struct {
	config   Config
	entries  map[ID]*entry
	away     bool
	returned time.Time // when the last outage ended
}

type entry struct {
	registration Registration
	seen         time.Time
	// lapsed says that the store holds no such registration, perhaps since the server could not renew it.
	lapsed bool
}

// Server is a registered server that may be given work.
type Server struct {
	Registration
	// ColdUntil is when the server stops being slow after its start.
	ColdUntil time.Time
}

// New returns an empty registry.
func New(c Config) *Registry { return &Registry{config: c, entries: map[ID]*entry{}} }

// MarkStoreUnavailable records that the store cannot be read.
func (r *Registry) MarkStoreUnavailable() { r.away = true }

// storeAnswered records that the store can be read.
func (r *Registry) storeAnswered(now time.Time) {
	if r.away {
		r.away, r.returned = false, now
	}
}

// Put takes a registration as the store holds it.
func (r *Registry) Put(now time.Time, in Registration) {
	r.storeAnswered(now)
	old := r.entries[in.ID]
	if old != nil && !in.supersedes(old.registration) {
		return
	}
	r.entries[in.ID] = &entry{registration: in, seen: now}
}

// Remove records that the store does not hold a registration any more.
func (r *Registry) Remove(now time.Time, id ID) {
	r.storeAnswered(now)
	e := r.entries[id]
	if e == nil {
		return
	}
	if r.mayReturn(now) && e.registration.State == Ready {
		e.lapsed = true
		return
	}
	delete(r.entries, id)
}

// Replace takes all registrations that the store holds.
func (r *Registry) Replace(now time.Time, all []Registration) {
	r.storeAnswered(now)
	held := make(map[ID]bool, len(all))
	for _, in := range all {
		held[in.ID] = true
		r.Put(now, in)
	}
	for id := range r.entries {
		if !held[id] {
			r.Remove(now, id)
		}
	}
}

// mayReturn reports whether servers that lapsed in an outage may still come back.
func (r *Registry) mayReturn(now time.Time) bool {
	return !r.returned.IsZero() && now.Before(r.returned.Add(r.config.GracePeriod))
}

// UntilExpiry returns how long servers that lapsed may still come back, and whether there are any.
func (r *Registry) UntilExpiry(now time.Time) (time.Duration, bool) {
	for _, e := range r.entries {
		if e.lapsed {
			return max(0, r.returned.Add(r.config.GracePeriod).Sub(now)), true
		}
	}
	return 0, false
}

// Expire forgets the servers that did not come back, and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	if r.away || r.mayReturn(now) {
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

// Servers returns the servers that may be given work, in the order of their identities.
func (r *Registry) Servers() []Server {
	out := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		if e.registration.State != Ready {
			continue
		}
		out = append(out, Server{Registration: e.registration, ColdUntil: e.seen.Add(e.registration.ColdFor)})
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
