package jymember

import (
	"slices"
	"time"
)

// Table is what one instance knows of the fleet; it is not safe for concurrent use.
type Table struct {
	config      Config
	self        Member
	entries     map[Name]*entry // without self
	order       []Name          // of the entries, sorted
	ring        []Name          // whom to send heartbeats to, in turn
	rumours     []rumour
	successions map[Run]succession
	changes     uint64
}

type entry struct {
	Member
	since  time.Time // of the status
	listed bool      // in the platform's list
}

type succession struct {
	to    Run
	since time.Time
}

// NewTable returns a table that knows only its own instance.
func NewTable(c Config, self Member) *Table {
	t := &Table{config: c, self: self, entries: map[Name]*entry{}, successions: map[Run]succession{}}
	t.announceSelf()
	return t
}

// Self returns this instance as it presents itself.
func (t *Table) Self() Member { return t.self }

// SyncList takes the platform's list: unknown instances are assumed alive, and long gone ones that it no longer names are forgotten.
func (t *Table) SyncList(now time.Time, list []ListedInstance) []Event {
	listed := map[Name]bool{}
	var events []Event
	for _, s := range list {
		listed[s.Name] = true
		if s.Name == t.self.Name || t.entries[s.Name] != nil {
			continue
		}
		m := Member{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Region: s.Region}
		t.add(s.Name, &entry{Member: m, since: now})
		events = append(events, Event{Member: m, New: true})
	}
	for _, name := range slices.Clone(t.order) {
		e := t.entries[name]
		e.listed = listed[name]
		gone := e.Status == Dead || e.Status == Left
		if gone && !e.listed && now.Sub(e.since) > t.config.DeadRetention {
			t.remove(name)
		}
	}
	t.forgetSuccessions(now)
	return events
}

// Members returns all other instances, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, n := range t.order {
		out = append(out, t.entries[n].Member)
	}
	return out
}

// KnownCount returns the number of other instances that Members returns.
func (t *Table) KnownCount() int { return len(t.entries) }

// Find returns what is known of an instance.
func (t *Table) Find(n Name) (Member, bool) {
	if n == t.self.Name {
		return t.self, true
	}
	if e := t.entries[n]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Working returns the instances that are alive or only suspected, this one included, sorted by name.
func (t *Table) Working() []Member {
	out := make([]Member, 0, len(t.order)+1)
	isIn := false
	for _, n := range t.order {
		if !isIn && n > t.self.Name {
			out, isIn = append(out, t.self), true
		}
		if e := t.entries[n]; e.Status == Alive || e.Status == Suspect {
			out = append(out, e.Member)
		}
	}
	if !isIn {
		out = append(out, t.self)
	}
	return out
}

// WorkingCount returns the number of instances that Working returns.
func (t *Table) WorkingCount() int {
	n := 1
	for _, e := range t.entries {
		if e.Status == Alive || e.Status == Suspect {
			n++
		}
	}
	return n
}

// Changes returns a number that rises with each change of a member.
func (t *Table) Changes() uint64 { return t.changes }

// add puts a new entry into its place.
func (t *Table) add(n Name, e *entry) {
	t.changes++
	t.entries[n] = e
	i, _ := slices.BinarySearch(t.order, n)
	t.order = slices.Insert(t.order, i, n)
}

func (t *Table) remove(n Name) {
	t.changes++
	delete(t.entries, n)
	if i, ok := slices.BinarySearch(t.order, n); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// Merge takes news from a peer and passes on what is new.
func (t *Table) Merge(now time.Time, updates []Update) []Event {
	return t.merge(now, updates, true)
}

// MergeFullState takes all that a peer knows; it is not passed on, since it is no news.
func (t *Table) MergeFullState(now time.Time, updates []Update) []Event {
	return t.merge(now, updates, false)
}

func (t *Table) merge(now time.Time, updates []Update, news bool) []Event {
	var events []Event
	for _, u := range updates {
		if u.Succession != nil {
			t.addSuccession(now, *u.Succession, news)
		}
		if u.Member != nil {
			events = append(events, t.mergeMember(now, *u.Member, news)...)
		}
	}
	return events
}

func (t *Table) mergeMember(now time.Time, m Member, news bool) []Event {
	if m.Name == t.self.Name {
		t.refute(m)
		return nil
	}
	e := t.entries[m.Name]
	if e == nil {
		if m.Status == Dead || m.Status == Left {
			return nil
		}
		e = &entry{}
		t.add(m.Name, e)
		return t.set(now, e, m, news, true)
	}
	if !m.supersedes(e.Member) {
		return nil
	}
	return t.set(now, e, m, news, m.Boot > e.Boot)
}

// refute answers a claim that this instance is not alive with a higher incarnation.
func (t *Table) refute(m Member) {
	if m.Boot != t.self.Boot || m.Status == Alive || m.Incarnation < t.self.Incarnation || t.self.Status == Left {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.announceSelf()
}

func (t *Table) announceSelf() {
	self := t.self
	t.spread(string(self.Name), Update{Member: &self})
}

func (t *Table) set(now time.Time, e *entry, m Member, news, isNew bool) []Event {
	before := e.Status
	t.changes++
	e.Member = m
	if before != m.Status || isNew {
		e.since = now
	}
	if news {
		t.spread(string(m.Name), Update{Member: &m})
	}
	if before == m.Status && !isNew {
		return nil
	}
	return []Event{{Member: m, Before: before, New: isNew}}
}

// Probe is a heartbeat to send: to Target, and through Helpers if Target does not answer.
type Probe struct {
	Target  Member
	Helpers []Member
}

// NextProbe returns whom to send a heartbeat next; shuffle permutes n places.
func (t *Table) NextProbe(shuffle func(n int, swap func(i, j int))) (Probe, bool) {
	for range len(t.entries) + 1 {
		if len(t.ring) == 0 {
			t.ring = slices.Clone(t.order)
			shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
		}
		if len(t.ring) == 0 {
			return Probe{}, false
		}
		n := t.ring[0]
		t.ring = t.ring[1:]
		e := t.entries[n]
		if e == nil || e.Status == Left || (e.Status == Dead && !e.listed) {
			continue
		}
		return Probe{Target: e.Member, Helpers: t.helpers(n, shuffle, t.config.Helpers)}, true
	}
	return Probe{}, false
}

// helpers returns up to count other members that are alive, drawn by lot.
func (t *Table) helpers(target Name, shuffle func(n int, swap func(i, j int)), count int) []Member {
	var out []Member
	for _, n := range t.order {
		if e := t.entries[n]; n != target && e.Status == Alive {
			out = append(out, e.Member)
		}
	}
	shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), count)]
}

// RecordProbeFailure takes that neither the target nor any helper brought an answer.
func (t *Table) RecordProbeFailure(now time.Time, target Member) []Event {
	e := t.entries[target.Name]
	if e == nil || e.Status != Alive || e.Boot != target.Boot || e.Incarnation != target.Incarnation {
		return nil
	}
	m := e.Member
	m.Status = Suspect
	return t.set(now, e, m, true, false)
}

// RecordAnswer takes that a member answered a call, which speaks for its life whatever others say; it announces itself to others.
func (t *Table) RecordAnswer(now time.Time, m Member) []Event { return t.mergeMember(now, m, false) }

// Expire turns those who were suspected for too long into dead ones.
func (t *Table) Expire(now time.Time) []Event {
	var events []Event
	for _, n := range t.order {
		e := t.entries[n]
		if e.Status != Suspect || now.Sub(e.since) < t.config.SuspectTimeout {
			continue
		}
		m := e.Member
		m.Status = Dead
		events = append(events, t.set(now, e, m, true, false)...)
	}
	return events
}

// RestartSuspectTimers gives all suspects their full time again: after a pause of this process their answers may lie unread.
func (t *Table) RestartSuspectTimers(now time.Time) {
	for _, e := range t.entries {
		if e.Status == Suspect {
			e.since = now
		}
	}
}

// Leave marks this instance as shutting down, with its successor if it has one.
func (t *Table) Leave(now time.Time, successor *Run) {
	t.self.Status = Left
	t.announceSelf()
	if successor != nil {
		t.AddSuccession(now, Succession{From: Run{t.self.Name, t.self.Boot}, To: *successor})
	}
}
