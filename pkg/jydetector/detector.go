package jydetector

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the tests.
const (
	secondsPerDay = 86_400
	// minRate is the least rate of attempts, a second, for which the threshold is set.
	minRate = 1.0
	// secondOpinion is the score that must remain without the strongest reporter or data centre.
	secondOpinion = 4.6
	// reporterMemory is how long a reporter counts as active after its last attempt.
	reporterMemory = 30 * time.Second
	// strikeMemory is the time in good standing after which one ejection less is counted against a server.
	strikeMemory = 5 * time.Minute
	maxStrikes   = 10
	// maxReporters bounds the reporters remembered; the longest silent one makes room.
	maxReporters = 1024
)

// Detector holds the evidence about the servers of one service; it is not safe for concurrent use.
type Detector struct {
	config    Config
	servers   []*server // sorted by name
	reporters []reporter
	groups    []GroupName
}

type reporter struct {
	name   ReporterName
	boot   uint64
	group  int
	active time.Time
	last   map[ServerName]Counts
}

type server struct {
	Server
	phase     Phase
	since     time.Time
	until     time.Time
	cause     Cause
	score     float64
	strikes   int
	recent    window
	total     Counts
	tests     [len(channels)][]sum
	probation float64
}

// New returns a detector that knows no server.
func New(c Config) *Detector { return &Detector{config: c.withDefaults()} }

// Configure replaces the weight and the floor, as a release note may.
func (d *Detector) Configure(c Config) { d.config = c.withDefaults() }

// SetServers tells which servers the service has; a new one starts Cold, but all are Healthy at the first call.
func (d *Detector) SetServers(now time.Time, list []Server) {
	if d.sameServers(list) {
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
	// Excursions hold the counts of all servers by their places, which have moved.
	for _, s := range d.servers {
		s.resetTests()
	}
}

// sameServers reports whether the list, sorted by name, is what the detector has.
func (d *Detector) sameServers(list []Server) bool {
	return slices.EqualFunc(d.servers, list, func(s *server, v Server) bool { return s.Server == v })
}

func (d *Detector) newServer(now time.Time, first bool) *server {
	s := &server{phase: Healthy, since: now}
	for i, ch := range channels {
		s.tests[i] = make([]sum, len(ch.alternatives))
	}
	if !first {
		s.enter(now, Cold, now.Add(d.config.ColdTime))
	}
	return s
}

func (s *server) enter(now time.Time, p Phase, until time.Time) {
	s.phase, s.since, s.until = p, now, until
	s.probation = 0
	s.resetTests()
}

func (s *server) resetTests() {
	for i := range s.tests {
		for j := range s.tests[i] {
			s.tests[i][j].reset()
		}
	}
}

func (d *Detector) find(name ServerName) *server {
	i, ok := slices.BinarySearchFunc(d.servers, name, func(s *server, n ServerName) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return d.servers[i]
}

// Observe takes a report and returns the transitions that follow from it.
func (d *Detector) Observe(now time.Time, r Report) []Change {
	changes := d.Advance(now)
	index, ok := d.reporter(now, r)
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
		if delta, ok := d.increment(index, t); ok {
			d.reporters[index].active = now
			changes = append(changes, d.take(now, s, index, delta)...)
		}
	}
	return changes
}

// reporter returns the index of the report's sender, or false if the report is from an earlier boot.
func (d *Detector) reporter(now time.Time, r Report) (int, bool) {
	i := slices.IndexFunc(d.reporters, func(v reporter) bool { return v.name == r.Reporter })
	if i < 0 {
		i = d.seat(r.Reporter)
	}
	v := &d.reporters[i]
	if r.Boot < v.boot {
		return 0, false
	}
	if r.Boot > v.boot || v.last == nil {
		v.boot = r.Boot
		v.last = map[ServerName]Counts{}
	}
	v.group = d.groupIndex(r.Group)
	if v.active.IsZero() {
		v.active = now
	}
	return i, true
}

func (d *Detector) seat(name ReporterName) int {
	if len(d.reporters) < maxReporters {
		d.reporters = append(d.reporters, reporter{name: name})
		return len(d.reporters) - 1
	}
	oldest := 0
	for i := range d.reporters {
		if d.reporters[i].active.Before(d.reporters[oldest].active) {
			oldest = i
		}
	}
	d.reporters[oldest] = reporter{name: name}
	return oldest
}

func (d *Detector) groupIndex(g GroupName) int {
	if i := slices.Index(d.groups, g); i >= 0 {
		return i
	}
	d.groups = append(d.groups, g)
	return len(d.groups) - 1
}

// increment returns what the totals add to what the reporter said before.
func (d *Detector) increment(reporter int, t Totals) (Counts, bool) {
	last, known := d.reporters[reporter].last[t.Server]
	if !known {
		last = t.Base
	}
	if !t.Now.covers(last) || t.Now == last {
		return Counts{}, false
	}
	delta := t.Now.minus(last)
	if !delta.isPlausible() {
		return Counts{}, false
	}
	d.reporters[reporter].last[t.Server] = t.Now
	return delta, true
}

func (d *Detector) take(now time.Time, s *server, reporter int, c Counts) []Change {
	s.recent.add(c)
	s.total = s.total.plus(c)
	switch s.phase {
	case Healthy, Cold:
		return d.test(now, s, reporter, c)
	case Probation:
		return d.tryReturn(now, s, c)
	}
	return nil
}

// Verdicts returns the standing of all servers that are not Healthy, sorted by name.
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
