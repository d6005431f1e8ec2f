package jydetector

import (
	"math"
	"slices"
	"time"
)

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
func (d *Detector) withhold(s *server, t *sum, cause Cause, why WithheldReason) []Change {
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
