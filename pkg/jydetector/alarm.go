package jydetector

import (
	"math"
	"slices"
	"time"
)

// updateTests adds new counts of a server to its tests and returns the ejections, or withheld ejections, that follow.
func (d *Detector) updateTests(now time.Time, s *server, reporter int, c Counts) []Change {
	for i, sy := range symptoms {
		// A server that has just started is expected to be slow.
		if sy.cause == SlowAnswers && s.phase == Cold {
			continue
		}
		p0 := d.referenceShare(s, i)
		for j, p1 := range sy.alternatives {
			if p1 < minShareRatio*p0 {
				s.tests[i][j].reset()
				continue
			}
			t := &s.tests[i][j]
			if t.score == 0 {
				t.start(d.servers)
			}
			t.add(reporter, c, logLikelihoodRatio(c.Attempts, sy.affected(c), p0, p1))
		}
	}
	return d.checkAlarms(now, s)
}

// referenceShare returns the median recent share of a symptom among the other servers in rotation, at least minReferenceShare. A
// fault of the whole service raises it too.
func (d *Detector) referenceShare(s *server, symptomIndex int) float64 {
	shares := make([]float64, 0, len(d.servers))
	for _, o := range d.servers {
		if o == s || !o.isInRotation() {
			continue
		}
		shares = append(shares, o.recent.share(symptomIndex))
	}
	return max(symptoms[symptomIndex].minReferenceShare, upperMedian(shares))
}

// isInRotation reports whether the server receives ordinary requests.
func (s *server) isInRotation() bool { return s.phase == Healthy || s.phase == Cold }

// upperMedian returns the median, of an even count the greater of the middle two, and 0 of none. It sorts the values.
func upperMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// checkAlarms raises an alarm for each corroborated test whose score has reached the threshold, until the server is ejected.
func (d *Detector) checkAlarms(now time.Time, s *server) []Change {
	var changes []Change
	for i, sy := range symptoms {
		for j := range sy.alternatives {
			t := &s.tests[i][j]
			if t.score < d.threshold(s) || !d.isCorroborated(now, t) {
				continue
			}
			changes = append(changes, d.raiseAlarm(now, s, i, j)...)
			if s.phase == Ejected {
				return changes
			}
		}
	}
	return changes
}

// threshold returns the score from which on a test of the server raises an alarm: the logarithm of the number of test steps
// in the allowed time between false ejections.
func (d *Detector) threshold(s *server) float64 {
	perDay := max(minAttemptRate, s.recent.rate()) * secondsPerDay
	return math.Log(d.config.ServerDaysPerFalseEjection * perDay * float64(testCount()))
}

// isCorroborated reports whether enough of the score remains without the reporter, and without the group, that adds most to
// it. A sole active reporter or group needs no corroboration.
func (d *Detector) isCorroborated(now time.Time, t *cusum) bool {
	reporters, groups := d.activeCounts(now)
	if reporters > 1 && t.withoutLargest(func(r int) int { return r }) < minCorroboration {
		return false
	}
	if groups > 1 && t.withoutLargest(func(r int) int { return d.reporters[r].group }) < minCorroboration {
		return false
	}
	return true
}

// activeCounts returns the number of recently active reporters, and of the groups they are in.
func (d *Detector) activeCounts(now time.Time) (reporters, groups int) {
	seen := make([]bool, len(d.groups))
	for _, r := range d.reporters {
		if now.Sub(r.lastActive) > reporterActiveTime {
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

// raiseAlarm ejects the server, unless the other servers show the symptom too or too few slots would remain.
func (d *Detector) raiseAlarm(now time.Time, s *server, symptomIndex, alternative int) []Change {
	t := &s.tests[symptomIndex][alternative]
	sy := symptoms[symptomIndex]
	p0 := max(sy.minReferenceShare, d.shareInExcursion(s, t, sy))
	if excessScore(t.counts.Attempts, sy.affected(t.counts), p0) < d.threshold(s) {
		return d.withhold(s, t, sy.cause, ServiceFault)
	}
	if !d.mayEject(s) {
		s.cause, s.score = sy.cause, t.score
		return d.withhold(s, t, sy.cause, AtFloor)
	}
	return []Change{d.eject(now, s, sy.cause, t.score)}
}

// withhold returns the change for an alarm that leads to no ejection, or none if the last reason in the excursion was the same.
func (d *Detector) withhold(s *server, t *cusum, cause Cause, why WithheldReason) []Change {
	if t.withheld == why {
		return nil
	}
	t.withheld = why
	return []Change{{Server: s.Name, From: s.phase, To: s.phase, Cause: cause, Score: t.score, Withheld: why}}
}

// shareInExcursion returns the median share of a symptom at the other servers in rotation since the excursion began. It rises
// at once with a service-wide fault, while the decaying windows lag.
func (d *Detector) shareInExcursion(s *server, t *cusum, sy symptom) float64 {
	shares := make([]float64, 0, len(d.servers))
	for i, o := range d.servers {
		if o == s || !o.isInRotation() {
			continue
		}
		c := o.total.minus(t.baseline[i])
		shares = append(shares, float64(sy.affected(c))/float64(max(1, c.Attempts)))
	}
	return upperMedian(shares)
}

// mayEject reports whether the other Healthy servers have at least the slots of the floor, and at least one.
func (d *Detector) mayEject(s *server) bool {
	slots := 0
	for _, o := range d.servers {
		if o != s && o.phase == Healthy {
			slots += o.Slots
		}
	}
	return slots >= d.config.FloorSlots && slots > 0
}
