package jydetector

import (
	"cmp"
	"math"
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
	drainTill time.Time
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

func (d *Detector) test(now time.Time, s *server, reporter int, c Counts) []Change {
	for i, ch := range channels {
		if ch.cause == SlowAnswers && s.phase == Cold {
			continue
		}
		p0 := d.peerShare(s, i)
		for j, p1 := range ch.alternatives {
			if p1 < minRatio*p0 {
				s.tests[i][j].reset()
				continue
			}
			t := &s.tests[i][j]
			if t.score == 0 {
				t.begin(d.servers)
			}
			t.add(reporter, c, logLikelihoodRatio(c.Attempts, ch.marked(c), p0, p1))
		}
	}
	return d.judge(now, s)
}

// peerShare returns the median share among the other servers that take requests, which a service-wide fault raises too.
func (d *Detector) peerShare(s *server, channel int) float64 {
	shares := make([]float64, 0, len(d.servers))
	for _, o := range d.servers {
		if o == s || !o.takesRequests() {
			continue
		}
		shares = append(shares, o.recent.share(channel))
	}
	return max(channels[channel].leastShare, upperMedian(shares))
}

func (s *server) takesRequests() bool { return s.phase == Healthy || s.phase == Cold }

func upperMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (d *Detector) judge(now time.Time, s *server) []Change {
	var changes []Change
	for i, ch := range channels {
		for j := range ch.alternatives {
			t := &s.tests[i][j]
			if t.score < d.threshold(s) || !d.hasSecondOpinion(now, t) {
				continue
			}
			changes = append(changes, d.alarm(now, s, i, j)...)
			if s.phase == Ejected {
				return changes
			}
		}
	}
	return changes
}

func (d *Detector) threshold(s *server) float64 {
	perDay := max(minRate, s.recent.rate()) * secondsPerDay
	return math.Log(d.config.ServerDaysPerFalseEjection * perDay * float64(testCount()))
}

func (d *Detector) hasSecondOpinion(now time.Time, t *sum) bool {
	reporters, groups := d.activeCounts(now)
	if reporters > 1 && t.withoutLargest(func(r int) int { return r }) < secondOpinion {
		return false
	}
	if groups > 1 && t.withoutLargest(func(r int) int { return d.reporters[r].group }) < secondOpinion {
		return false
	}
	return true
}

func (d *Detector) activeCounts(now time.Time) (reporters, groups int) {
	seen := make([]bool, len(d.groups))
	for _, r := range d.reporters {
		if now.Sub(r.active) > reporterMemory {
			continue
		}
		reporters++
		if !seen[r.group] {
			seen[r.group] = true
			groups++
		}
	}
	return reporters, groups
}

func (d *Detector) alarm(now time.Time, s *server, channel, alternative int) []Change {
	t := &s.tests[channel][alternative]
	ch := channels[channel]
	p0 := max(ch.leastShare, d.shareInExcursion(s, t, ch))
	if evidence(t.seen.Attempts, ch.marked(t.seen), p0) < d.threshold(s) {
		return d.withhold(s, t, ch.cause, ServiceFault)
	}
	if !d.mayEject(s) {
		s.cause, s.score = ch.cause, t.score
		return d.withhold(s, t, ch.cause, AtFloor)
	}
	return []Change{d.eject(now, s, ch.cause, t.score)}
}

// withhold tells once in an excursion that an alarm leads to no ejection.
func (d *Detector) withhold(s *server, t *sum, cause Cause, why Withheld) []Change {
	if t.withheld == why {
		return nil
	}
	t.withheld = why
	return []Change{{Server: s.Name, From: s.phase, To: s.phase, Cause: cause, Score: t.score, Withheld: why}}
}

// shareInExcursion returns the median share that the other servers show since the excursion began: it follows the
// onset of a service-wide fault at once, where the decaying windows lag.
func (d *Detector) shareInExcursion(s *server, t *sum, ch channel) float64 {
	shares := make([]float64, 0, len(d.servers))
	for i, o := range d.servers {
		if o == s || !o.takesRequests() {
			continue
		}
		c := o.total.minus(t.base[i])
		shares = append(shares, float64(ch.marked(c))/float64(max(1, c.Attempts)))
	}
	return upperMedian(shares)
}

// mayEject reports whether the other warm servers hold the floor.
func (d *Detector) mayEject(s *server) bool {
	left := 0
	for _, o := range d.servers {
		if o != s && o.phase == Healthy {
			left += o.Slots
		}
	}
	return left >= d.config.FloorSlots && left > 0
}

func (d *Detector) eject(now time.Time, s *server, cause Cause, score float64) Change {
	change := Change{Server: s.Name, From: s.phase, To: Ejected, Cause: cause, Score: score}
	away := min(d.config.MaxEjection, d.config.BaseEjection<<s.strikes)
	s.strikes = min(s.strikes+1, maxStrikes)
	s.cause, s.score = cause, score
	s.enter(now, Ejected, now.Add(away))
	return change
}

func (d *Detector) drain(now time.Time, s *server) []Change {
	s.drainTill = now.Add(d.config.DrainMemory)
	if s.phase == Draining {
		s.until = s.drainTill
		return nil
	}
	change := Change{Server: s.Name, From: s.phase, To: Draining}
	s.enter(now, Draining, s.drainTill)
	return []Change{change}
}

// Bounds of the sequential test by which a server on probation returns.
const (
	relapseShare  = 0.5
	returnScore   = 4.6
	relapseScore  = -4.5
	coldFirstPart = 0.1
)

func (d *Detector) tryReturn(now time.Time, s *server, c Counts) []Change {
	p0 := d.peerShare(s, 0)
	s.probation -= logLikelihoodRatio(c.Attempts, c.Failures, min(p0, relapseShare/minRatio), relapseShare)
	if s.probation <= relapseScore {
		return []Change{d.eject(now, s, Relapse, s.probation)}
	}
	if s.probation < returnScore {
		return nil
	}
	return []Change{d.warm(now, s)}
}

func (d *Detector) warm(now time.Time, s *server) Change {
	change := Change{Server: s.Name, From: s.phase, To: Cold}
	s.enter(now, Cold, now.Add(d.config.ColdTime))
	return change
}

// Advance moves servers whose phase has ended to the next one.
func (d *Detector) Advance(now time.Time) []Change {
	var changes []Change
	for _, s := range d.servers {
		if s.phase == Healthy && s.strikes > 0 && now.Sub(s.since) >= strikeMemory {
			s.strikes--
			s.since = now
		}
		if s.until.IsZero() || now.Before(s.until) {
			continue
		}
		changes = append(changes, d.next(now, s))
	}
	return changes
}

func (d *Detector) next(now time.Time, s *server) Change {
	change := Change{Server: s.Name, From: s.phase}
	switch s.phase {
	case Ejected:
		s.enter(now, Probation, now.Add(d.config.ProbationWait))
	case Cold:
		s.enter(now, Healthy, time.Time{})
	default:
		return d.warm(now, s)
	}
	change.To = s.phase
	return change
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

// ColdWeight returns the share of a full load that a server takes at this point of its Cold phase.
func ColdWeight(now, since, until time.Time) float64 {
	if until.IsZero() || !now.Before(until) {
		return 1
	}
	passed := float64(now.Sub(since)) / float64(until.Sub(since))
	return min(1, max(coldFirstPart, passed))
}
