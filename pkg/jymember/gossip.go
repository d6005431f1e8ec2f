package jymember

import (
	"cmp"
	"math/bits"
	"slices"
)

// pendingUpdate is an update that is still gossiped.
type pendingUpdate struct {
	key       string // the member or run that the update is about
	update    Update
	timesSent int
}

// enqueue queues an update for gossip, in place of an earlier one with the same key.
func (t *Table) enqueue(key string, u Update) {
	t.pending = slices.DeleteFunc(t.pending, func(p pendingUpdate) bool { return p.key == key })
	t.pending = slices.Insert(t.pending, 0, pendingUpdate{key: key, update: u})
}

// retransmitFactor sets how many times an update is sent: retransmitFactor times the bit length of the fleet's size.
const retransmitFactor = 4

// Updates returns the pending updates to send with a call, at most Config.UpdatesPerCall, and counts them as sent. Those that were
// sent the fewest times come first, and among these the newest.
func (t *Table) Updates() []Update {
	limit := retransmitFactor * bits.Len(uint(len(t.entries)+1))
	slices.SortStableFunc(t.pending, func(a, b pendingUpdate) int { return cmp.Compare(a.timesSent, b.timesSent) })
	n := min(len(t.pending), t.config.UpdatesPerCall)
	out := make([]Update, 0, n)
	for i := range n {
		out = append(out, t.pending[i].update)
		t.pending[i].timesSent++
	}
	t.pending = slices.DeleteFunc(t.pending, func(p pendingUpdate) bool { return p.timesSent >= limit })
	return out
}

// UpdatesFor returns the updates to send with a call to a member. If this table has the member as Suspect or Dead, they include
// that state, so that the member can refute it.
func (t *Table) UpdatesFor(to Name) []Update {
	out := t.Updates()
	e := t.entries[to]
	if e == nil || (e.Status != Suspect && e.Status != Dead) {
		return out
	}
	m := e.Member
	return append(out, Update{Member: &m})
}

// aliveSampleSize is the number of members that are sent to an unknown process run in addition to the updates.
const aliveSampleSize = 16

// AliveSample returns a few random alive members for an instance that has just started. Instances that start together thus
// contact different members next. shuffle permutes n elements.
func (t *Table) AliveSample(shuffle func(n int, swap func(i, j int))) []Update {
	alive := t.randomAlive(t.self.Name, shuffle, aliveSampleSize)
	out := make([]Update, 0, len(alive))
	for _, m := range alive {
		out = append(out, Update{Member: &m})
	}
	return out
}

// IsUnknownRun reports whether this table lacks the process run of a member, given by its name and boot.
func (t *Table) IsUnknownRun(m Member) bool {
	known, ok := t.Find(m.Name)
	return !ok || known.Boot != m.Boot
}

// FullState returns all members, this one included, and all successions, for a member that has just started.
func (t *Table) FullState() []Update {
	out := make([]Update, 0, len(t.entries)+len(t.successions)+1)
	self := t.self
	out = append(out, Update{Member: &self})
	for _, n := range t.names {
		m := t.entries[n].Member
		out = append(out, Update{Member: &m})
	}
	for _, s := range t.sortedSuccessions() {
		out = append(out, Update{Succession: &s})
	}
	return out
}
