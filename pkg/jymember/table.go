package jymember

import (
	"slices"
	"time"
)

// Table is one instance's view of the fleet. It is not safe for concurrent use.
type Table struct {
	config      Config
	self        Member
	entries     map[Name]*entry // without self
	names       []Name          // of the entries, sorted
	probeOrder  []Name          // the members left to probe in the current round
	pending     []pendingUpdate
	successions map[Run]succession
	version     uint64 // see MembershipVersion
}

type entry struct {
	Member
	statusSince time.Time
	listed      bool // in the platform's list
}

// succession is the successor of a run.
type succession struct {
	to    Run
	since time.Time // when this instance recorded it
}

// NewTable returns a table with self, this instance, as its only member.
func NewTable(c Config, self Member) *Table {
	t := &Table{config: c, self: self, entries: map[Name]*entry{}, successions: map[Run]succession{}}
	t.announceSelf()
	return t
}

// Self returns this instance in the state that it announces to the others.
func (t *Table) Self() Member { return t.self }

// SyncList applies the platform's list. Unknown instances are added as Alive, and returned as events. Instances that are not
// listed and that have been Dead or Left for Config.DeadRetention are removed, and so are expired successions.
func (t *Table) SyncList(now time.Time, list []ListedInstance) []Event {
	listed := map[Name]bool{}
	var events []Event
	for _, s := range list {
		listed[s.Name] = true
		if s.Name == t.self.Name || t.entries[s.Name] != nil {
			continue
		}
		m := Member{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Region: s.Region}
		t.add(s.Name, &entry{Member: m, statusSince: now})
		events = append(events, Event{Member: m, New: true})
	}
	for _, name := range slices.Clone(t.names) {
		e := t.entries[name]
		e.listed = listed[name]
		ended := e.Status == Dead || e.Status == Left
		if ended && !e.listed && now.Sub(e.statusSince) > t.config.DeadRetention {
			t.remove(name)
		}
	}
	t.expireSuccessions(now)
	return events
}

// Members returns all other instances, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, n := range t.names {
		out = append(out, t.entries[n].Member)
	}
	return out
}

// KnownCount returns the number of other instances that Members returns.
func (t *Table) KnownCount() int { return len(t.entries) }

// Find returns the member of that name, which may be this instance, or false.
func (t *Table) Find(n Name) (Member, bool) {
	if n == t.self.Name {
		return t.self, true
	}
	if e := t.entries[n]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Working returns the instances that are Alive or Suspect, and always this one, sorted by name.
func (t *Table) Working() []Member {
	out := make([]Member, 0, len(t.names)+1)
	selfAdded := false
	for _, n := range t.names {
		if !selfAdded && n > t.self.Name {
			out, selfAdded = append(out, t.self), true
		}
		if e := t.entries[n]; e.Status == Alive || e.Status == Suspect {
			out = append(out, e.Member)
		}
	}
	if !selfAdded {
		out = append(out, t.self)
	}
	return out
}

// Presence is a member that has not left.
type Presence struct {
	Member
	// DeadFor is how long the member has been Dead, and at least 1 ns then; 0 means that it is Alive or Suspect.
	DeadFor time.Duration
}

// Presences returns this instance and all others that have not left, in no particular order.
func (t *Table) Presences(now time.Time) []Presence {
	out := []Presence{{Member: t.self}}
	for _, n := range t.names {
		e := t.entries[n]
		switch e.Status {
		case Alive, Suspect:
			out = append(out, Presence{Member: e.Member})
		case Dead:
			out = append(out, Presence{Member: e.Member, DeadFor: max(1, now.Sub(e.statusSince))})
		}
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

// MembershipVersion returns a number that rises with each change of another member.
func (t *Table) MembershipVersion() uint64 { return t.version }

// add adds an entry and keeps the names sorted.
func (t *Table) add(n Name, e *entry) {
	t.version++
	t.entries[n] = e
	i, _ := slices.BinarySearch(t.names, n)
	t.names = slices.Insert(t.names, i, n)
}

func (t *Table) remove(n Name) {
	t.version++
	delete(t.entries, n)
	if i, ok := slices.BinarySearch(t.names, n); ok {
		t.names = slices.Delete(t.names, i, i+1)
	}
}

// Merge applies updates from a peer and gossips those that are new here. The events are the resulting changes of members.
func (t *Table) Merge(now time.Time, updates []Update) []Event {
	return t.merge(now, updates, true)
}

// MergeFullState applies the full state of a peer. It is not gossiped, since the rest of the fleet has it already.
func (t *Table) MergeFullState(now time.Time, updates []Update) []Event {
	return t.merge(now, updates, false)
}

// merge applies updates from a peer; gossip sets whether those that are new here are gossiped.
func (t *Table) merge(now time.Time, updates []Update, gossip bool) []Event {
	var events []Event
	for _, u := range updates {
		if u.Succession != nil {
			t.addSuccession(now, *u.Succession, gossip)
		}
		if u.Member != nil {
			events = append(events, t.mergeMember(now, *u.Member, gossip)...)
		}
	}
	return events
}

// mergeMember applies a state of a member if it supersedes the current one. An unknown member is added unless it is Dead or Left.
func (t *Table) mergeMember(now time.Time, m Member, gossip bool) []Event {
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
		return t.set(now, e, m, gossip, true)
	}
	if !m.supersedes(e.Member) {
		return nil
	}
	return t.set(now, e, m, gossip, m.Boot > e.Boot)
}

// refute raises the incarnation and announces it if m claims that this run of the instance is not alive.
func (t *Table) refute(m Member) {
	if m.Boot != t.self.Boot || m.Status == Alive || m.Incarnation < t.self.Incarnation || t.self.Status == Left {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.announceSelf()
}

// announceSelf gossips the state of this instance.
func (t *Table) announceSelf() {
	self := t.self
	t.enqueue(string(self.Name), Update{Member: &self})
}

// set replaces the state of a member and returns an event if its status or boot changed.
func (t *Table) set(now time.Time, e *entry, m Member, gossip, isNew bool) []Event {
	before := e.Status
	t.version++
	e.Member = m
	if before != m.Status || isNew {
		e.statusSince = now
	}
	if gossip {
		t.enqueue(string(m.Name), Update{Member: &m})
	}
	if before == m.Status && !isNew {
		return nil
	}
	return []Event{{Member: m, Before: before, New: isNew}}
}

// Probe is a heartbeat to send: to Target first, and through Helpers if Target does not answer.
type Probe struct {
	Target  Member
	Helpers []Member
}

// NextProbe returns the next heartbeat to send, or false if there is no member to probe. Each round probes all members once in
// random order, except the Left ones and the Dead ones that are not in the platform's list. shuffle permutes n elements.
func (t *Table) NextProbe(shuffle func(n int, swap func(i, j int))) (Probe, bool) {
	for range len(t.entries) + 1 {
		if len(t.probeOrder) == 0 {
			t.probeOrder = slices.Clone(t.names)
			shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
		}
		if len(t.probeOrder) == 0 {
			return Probe{}, false
		}
		n := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		e := t.entries[n]
		if e == nil || e.Status == Left || (e.Status == Dead && !e.listed) {
			continue
		}
		return Probe{Target: e.Member, Helpers: t.randomAlive(n, shuffle, t.config.Helpers)}, true
	}
	return Probe{}, false
}

// randomAlive returns up to count random other members that are Alive, without the one named except.
func (t *Table) randomAlive(except Name, shuffle func(n int, swap func(i, j int)), count int) []Member {
	var out []Member
	for _, n := range t.names {
		if e := t.entries[n]; n != except && e.Status == Alive {
			out = append(out, e.Member)
		}
	}
	shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), count)]
}

// RecordProbeFailure records that neither the target nor any helper answered: the target becomes Suspect if it was Alive and
// its state has not changed since the probe.
func (t *Table) RecordProbeFailure(now time.Time, target Member) []Event {
	e := t.entries[target.Name]
	if e == nil || e.Status != Alive || e.Boot != target.Boot || e.Incarnation != target.Incarnation {
		return nil
	}
	m := e.Member
	m.Status = Suspect
	return t.set(now, e, m, true, false)
}

// RecordAnswer applies the state that a member reports about itself in a call or an answer. It is not gossiped, since the
// member announces itself to others.
func (t *Table) RecordAnswer(now time.Time, m Member) []Event { return t.mergeMember(now, m, false) }

// Expire declares members dead that have been Suspect for Config.SuspectTimeout.
func (t *Table) Expire(now time.Time) []Event {
	var events []Event
	for _, n := range t.names {
		e := t.entries[n]
		if e.Status != Suspect || now.Sub(e.statusSince) < t.config.SuspectTimeout {
			continue
		}
		m := e.Member
		m.Status = Dead
		events = append(events, t.set(now, e, m, true, false)...)
	}
	return events
}

// RestartSuspectTimers gives all suspected members the full SuspectTimeout again. Call it after a pause of this process, when
// refutations may have arrived that are still unread.
func (t *Table) RestartSuspectTimers(now time.Time) {
	for _, e := range t.entries {
		if e.Status == Suspect {
			e.statusSince = now
		}
	}
}

// Leave marks this instance as Left and gossips that. It also gossips the successor that took over its request ids, unless that is
// nil.
func (t *Table) Leave(now time.Time, successor *Run) {
	t.self.Status = Left
	t.announceSelf()
	if successor != nil {
		t.AddSuccession(now, Succession{From: Run{t.self.Name, t.self.Boot}, To: *successor})
	}
}
