package jydetector

import (
	"cmp"
	"slices"
	"time"
)

// Constants of the detector.
const (
	secondsPerDay = 86_400
	// minAttemptRate is the least rate, in attempts per second, that the threshold is computed for.
	minAttemptRate = 1.0
	// minCorroboration is the least score that must remain without the strongest reporter, and without the strongest group. It
	// is the logarithm of a likelihood ratio of about 100.
	minCorroboration = 4.6
	// reporterActiveTime is how long a reporter counts as active after its last report with new counts.
	reporterActiveTime = 30 * time.Second
	// ejectionDecayTime is the Healthy time after which a server's count of recent ejections drops by one.
	ejectionDecayTime = 5 * time.Minute
	// maxRecentEjections bounds the doublings of Config.BaseEjectionTime.
	maxRecentEjections = 10
	// maxReporters bounds the reporters that are recorded; a new one replaces the one that was active the longest ago.
	maxReporters = 1024
)

// Detector holds the evidence about the servers of one service. It is not safe for concurrent use.
type Detector struct {
	config    Config
	servers   []*server // sorted by name
	reporters []reporter
	groups    []GroupName
}

type reporter struct {
	name       ReporterName
	boot       uint64
	group      int                   // index in Detector.groups
	lastActive time.Time             // the time of its last report with new counts, or of its first report
	lastCounts map[ServerName]Counts // cumulative, since its boot
}

type server struct {
	Server
	phase           Phase
	since           time.Time // start of the phase; while Healthy, also the last drop of recentEjections
	until           time.Time // end of the phase; zero if it does not end by itself
	cause           Cause     // see Verdict
	score           float64   // see Verdict
	recentEjections int       // drops by one per ejectionDecayTime in the Healthy phase
	recent          window
	total           Counts                 // of all reporters since the server was added
	tests           [len(symptoms)][]cusum // by symptom and alternative
	probationScore  float64                // see testProbation
}

// New returns a detector without servers.
func New(c Config) *Detector { return &Detector{config: c.withDefaults()} }

// Configure replaces the settings, which a release note may change.
func (d *Detector) Configure(c Config) { d.config = c.withDefaults() }

// SetServers replaces the servers of the service. A new server starts Cold, but all servers start Healthy at the first call.
// A change of the list restarts all tests; a list that is not sorted by name counts as changed.
func (d *Detector) SetServers(now time.Time, list []Server) {
	if d.hasServers(list) {
		return
	}
	first := d.servers == nil
	old := map[ServerName]*server{}
	for _, s := range d.servers {
		old[s.Name] = s
	}
	d.servers = make([]*server, 0, len(list))
	for _, v := range list {
		s := old[v.Name]
		if s == nil {
			s = d.newServer(now, first)
		}
		s.Server = v
		d.servers = append(d.servers, s)
	}
	slices.SortFunc(d.servers, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	// The tests hold counts by server index, and the indexes have changed.
	for _, s := range d.servers {
		s.resetTests()
	}
}

// hasServers reports whether the list, sorted by name, equals the current servers.
func (d *Detector) hasServers(list []Server) bool {
	return slices.EqualFunc(d.servers, list, func(s *server, v Server) bool { return s.Server == v })
}

// newServer returns a server that is Healthy at the first call of SetServers, and Cold later.
func (d *Detector) newServer(now time.Time, first bool) *server {
	s := &server{phase: Healthy, since: now}
	for i, sy := range symptoms {
		s.tests[i] = make([]cusum, len(sy.alternatives))
	}
	if !first {
		s.enterPhase(now, Cold, now.Add(d.config.ColdTime))
	}
	return s
}

// enterPhase starts a phase that ends by itself at until, unless that is zero, and resets the tests.
func (s *server) enterPhase(now time.Time, p Phase, until time.Time) {
	s.phase, s.since, s.until = p, now, until
	s.probationScore = 0
	s.resetTests()
}

func (s *server) resetTests() {
	for i := range s.tests {
		for j := range s.tests[i] {
			s.tests[i][j].reset()
		}
	}
}

// find returns the server of that name, or nil.
func (d *Detector) find(name ServerName) *server {
	i, ok := slices.BinarySearchFunc(d.servers, name, func(s *server, n ServerName) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return d.servers[i]
}

// Observe adds a report to the evidence and returns the resulting changes, including those of phases that ended by now.
// A report of an earlier boot, and counts that are older than those already recorded, are ignored.
func (d *Detector) Observe(now time.Time, r Report) []Change {
	changes := d.Advance(now)
	index, ok := d.reporterIndex(now, r)
	if !ok {
		return changes
	}
	for _, s := range d.servers {
		s.recent.decay(now)
	}
	for _, t := range r.Totals {
		s := d.find(t.Server)
		if s == nil {
			continue
		}
		if t.Draining {
			changes = append(changes, d.drain(now, s)...)
		}
		if delta, ok := d.newCounts(index, t); ok {
			d.reporters[index].lastActive = now
			changes = append(changes, d.record(now, s, index, delta)...)
		}
	}
	return changes
}

// reporterIndex returns the index of the report's sender, which it adds if needed, or false if the report is from an earlier
// boot.
func (d *Detector) reporterIndex(now time.Time, r Report) (int, bool) {
	i := slices.IndexFunc(d.reporters, func(v reporter) bool { return v.name == r.Reporter })
	if i < 0 {
		i = d.addReporter(r.Reporter)
	}
	v := &d.reporters[i]
	if r.Boot < v.boot {
		return 0, false
	}
	if r.Boot > v.boot || v.lastCounts == nil {
		v.boot = r.Boot
		v.lastCounts = map[ServerName]Counts{}
	}
	v.group = d.groupIndex(r.Group)
	if v.lastActive.IsZero() {
		v.lastActive = now
	}
	return i, true
}

// addReporter adds a reporter, in place of the one that was active the longest ago if there are maxReporters.
func (d *Detector) addReporter(name ReporterName) int {
	if len(d.reporters) < maxReporters {
		d.reporters = append(d.reporters, reporter{name: name})
		return len(d.reporters) - 1
	}
	oldest := 0
	for i := range d.reporters {
		if d.reporters[i].lastActive.Before(d.reporters[oldest].lastActive) {
			oldest = i
		}
	}
	d.reporters[oldest] = reporter{name: name}
	return oldest
}

// groupIndex returns the index of a group, which it adds if needed.
func (d *Detector) groupIndex(g GroupName) int {
	if i := slices.Index(d.groups, g); i >= 0 {
		return i
	}
	d.groups = append(d.groups, g)
	return len(d.groups) - 1
}

// newCounts returns the counts since the reporter's previous totals of the server, or false if the totals are not newer or
// not plausible.
func (d *Detector) newCounts(reporter int, t Totals) (Counts, bool) {
	previous, known := d.reporters[reporter].lastCounts[t.Server]
	if !known {
		previous = t.Base
	}
	if !t.Now.covers(previous) || t.Now == previous {
		return Counts{}, false
	}
	delta := t.Now.minus(previous)
	if !delta.isPlausible() {
		return Counts{}, false
	}
	d.reporters[reporter].lastCounts[t.Server] = t.Now
	return delta, true
}

// record adds new counts to the server's evidence and returns the resulting changes.
func (d *Detector) record(now time.Time, s *server, reporter int, c Counts) []Change {
	s.recent.add(c)
	s.total = s.total.plus(c)
	switch s.phase {
	case Healthy, Cold:
		return d.updateTests(now, s, reporter, c)
	case Probation:
		return d.testProbation(now, s, c)
	}
	return nil
}

// Verdicts returns the verdicts on all servers that are not Healthy, sorted by server name.
func (d *Detector) Verdicts() []Verdict {
	var list []Verdict
	for _, s := range d.servers {
		if s.phase == Healthy {
			continue
		}
		list = append(list, Verdict{Server: s.Name, Phase: s.phase, Since: s.since, Until: s.until, Cause: s.cause, Score: s.score})
	}
	return list
}
