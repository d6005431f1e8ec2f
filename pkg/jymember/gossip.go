package jymember

import (
	"cmp"
	"math/bits"
	"slices"
)

// rumour is an update on its way through the fleet.
type rumour struct {
	key    string
	update Update
	sent   int
}

// spread queues an update and drops older news under the same key.
func (t *Table) spread(key string, u Update) {
	t.rumours = slices.DeleteFunc(t.rumours, func(r rumour) bool { return r.key == key })
	t.rumours = slices.Insert(t.rumours, 0, rumour{key: key, update: u})
}

// roundsFactor is how many times the logarithm of the fleet's size an update is sent.
const roundsFactor = 4

// Updates returns the news to send with a call, the least sent first and the newest of those, at most Config.UpdatesPerCall.
func (t *Table) Updates() []Update {
	limit := roundsFactor * bits.Len(uint(len(t.entries)+1))
	slices.SortStableFunc(t.rumours, func(a, b rumour) int { return cmp.Compare(a.sent, b.sent) })
	n := min(len(t.rumours), t.config.UpdatesPerCall)
	out := make([]Update, 0, n)
	for i := range n {
		out = append(out, t.rumours[i].update)
		t.rumours[i].sent++
	}
	t.rumours = slices.DeleteFunc(t.rumours, func(r rumour) bool { return r.sent >= limit })
	return out
}

// UpdatesFor returns the news to send with a call to a member; if it is not held alive, it is told so and can refute.
func (t *Table) UpdatesFor(to Name) []Update {
	out := t.Updates()
	e := t.entries[to]
	if e == nil || (e.Status != Suspect && e.Status != Dead) {
		return out
	}
	m := e.Member
	return append(out, Update{Member: &m})
}

// introductions is the number of members that a stranger is told of beside the news.
const introductions = 16

// AliveSample returns a few members for one that has just started, so that all that start together go on with different ones;
// shuffle permutes n places.
func (t *Table) AliveSample(shuffle func(n int, swap func(i, j int))) []Update {
	alive := t.helpers(t.self.Name, shuffle, introductions)
	out := make([]Update, 0, len(alive))
	for _, m := range alive {
		out = append(out, Update{Member: &m})
	}
	return out
}

// IsUnknownRun reports whether this run of a member is not known.
func (t *Table) IsUnknownRun(m Member) bool {
	known, ok := t.Find(m.Name)
	return !ok || known.Boot != m.Boot
}

// FullState returns all that is known, for a member that has just started.
func (t *Table) FullState() []Update {
	out := make([]Update, 0, len(t.entries)+len(t.successions)+1)
	self := t.self
	out = append(out, Update{Member: &self})
	for _, n := range t.order {
		m := t.entries[n].Member
		out = append(out, Update{Member: &m})
	}
	for _, s := range t.sortedSuccessions() {
		out = append(out, Update{Succession: &s})
	}
	return out
}
