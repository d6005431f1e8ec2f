package jyfleet

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// MembershipVersion returns a number that changes when the members that Working returns, or their addresses, change.
func (f *Fleet) MembershipVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.MembershipVersion()
}

// Working returns the instances that are alive or suspected, this one included, sorted by name.
func (f *Fleet) Working() []jymember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Working()
}

// WorkingCount returns the number of instances that Working returns.
func (f *Fleet) WorkingCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.WorkingCount()
}

// Presences returns this instance and all others that have not left, in no particular order.
func (f *Fleet) Presences() []jymember.Presence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Presences(time.Now())
}

// Members returns all other known instances in any state, sorted by name.
func (f *Fleet) Members() []jymember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Members()
}

// KnownCount returns the number of other known instances, dead ones included.
func (f *Fleet) KnownCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.KnownCount()
}

// Self returns this instance in the state that its heartbeats announce.
func (f *Fleet) Self() jymember.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Self()
}

// Owner returns the instance that owns the request ids of a run now, or false if no such instance is known.
func (f *Fleet) Owner(r jymember.Run) (jymember.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Owner(r)
}

// AddSuccession records and gossips that a run handed its request ids over.
func (f *Fleet) AddSuccession(s jymember.Succession) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.AddSuccession(time.Now(), s)
}

// RandomPeers returns up to count other working instances with a known address, in random order.
func (f *Fleet) RandomPeers(count int) []jymember.Member {
	working := f.Working()
	self := f.config.Self.Name
	rand.Shuffle(len(working), func(i, j int) { working[i], working[j] = working[j], working[i] })
	out := make([]jymember.Member, 0, count)
	for _, m := range working {
		if m.Name != self && m.Address != "" && len(out) < count {
			out = append(out, m)
		}
	}
	return out
}

// RankedForKey returns up to count working instances that include accepts, in the order of their rendezvous hash for the key.
// Instances with the same members get the same result. A nil include accepts all.
func (f *Fleet) RankedForKey(key string, count int, include func(jymember.Member) bool) []jymember.Member {
	byName := map[jymember.Name]jymember.Member{}
	var names []jymember.Name
	for _, m := range f.Working() {
		if include != nil && !include(m) {
			continue
		}
		byName[m.Name] = m
		names = append(names, m.Name)
	}
	out := make([]jymember.Member, 0, count)
	for _, n := range jyrendezvous.Top(key, names, count) {
		out = append(out, byName[n])
	}
	return out
}
