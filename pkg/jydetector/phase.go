package jydetector

import "time"

// eject starts the Ejected phase, which lasts longer the more recent ejections the server has.
func (d *Detector) eject(now time.Time, s *server, cause Cause, score float64) Change {
	change := Change{Server: s.Name, From: s.phase, To: Ejected, Cause: cause, Score: score}
	duration := min(d.config.MaxEjectionTime, d.config.BaseEjectionTime<<s.recentEjections)
	s.recentEjections = min(s.recentEjections+1, maxRecentEjections)
	s.cause, s.score = cause, score
	s.enterPhase(now, Ejected, now.Add(duration))
	return change
}

// drain starts the Draining phase, or extends it, in which case it returns no change.
func (d *Detector) drain(now time.Time, s *server) []Change {
	until := now.Add(d.config.DrainingTimeout)
	if s.phase == Draining {
		s.until = until
		return nil
	}
	change := Change{Server: s.Name, From: s.phase, To: Draining}
	s.enterPhase(now, Draining, until)
	return []Change{change}
}

// Constants of the sequential test on probation. Its score is the log-likelihood ratio of the other servers' share of failures
// against relapseShare; a score from recoveryScore up or from relapseScore down ends the probation. They are the
// logarithms of likelihood ratios of about 100 and 1/90.
const (
	relapseShare  = 0.5
	recoveryScore = 4.6
	relapseScore  = -4.5
	minColdWeight = 0.1 // the least result of ColdWeight
)

// testProbation adds new counts of a server on probation to its test. The server is ejected again or returns as Cold once the
// score is decisive.
func (d *Detector) testProbation(now time.Time, s *server, c Counts) []Change {
	p0 := d.referenceShare(s, 0)
	s.probationScore -= logLikelihoodRatio(c.Attempts, c.Failures, min(p0, relapseShare/minShareRatio), relapseShare)
	if s.probationScore <= relapseScore {
		return []Change{d.eject(now, s, Relapse, s.probationScore)}
	}
	if s.probationScore < recoveryScore {
		return nil
	}
	return []Change{d.startWarmUp(now, s)}
}

// startWarmUp starts the Cold phase.
func (d *Detector) startWarmUp(now time.Time, s *server) Change {
	change := Change{Server: s.Name, From: s.phase, To: Cold}
	s.enterPhase(now, Cold, now.Add(d.config.ColdTime))
	return change
}

// Advance moves the servers whose phase has ended to their next phase and returns these changes.
func (d *Detector) Advance(now time.Time) []Change {
	var changes []Change
	for _, s := range d.servers {
		if s.phase == Healthy && s.recentEjections > 0 && now.Sub(s.since) >= ejectionDecayTime {
			s.recentEjections--
			s.since = now
		}
		if s.until.IsZero() || now.Before(s.until) {
			continue
		}
		changes = append(changes, d.endPhase(now, s))
	}
	return changes
}

// endPhase moves a server from a phase whose time is over to the next one. Cold follows Draining, and Probation without a decision
// of its test.
func (d *Detector) endPhase(now time.Time, s *server) Change {
	change := Change{Server: s.Name, From: s.phase}
	switch s.phase {
	case Ejected:
		s.enterPhase(now, Probation, now.Add(d.config.ProbationTimeout))
	case Cold:
		s.enterPhase(now, Healthy, time.Time{})
	default:
		return d.startWarmUp(now, s)
	}
	change.To = s.phase
	return change
}

// ColdWeight returns the share of the full load that a server gets now in a Cold phase from since to until. It rises linearly to
// 1, but is at least 0.1. It is 1 if until is zero.
func ColdWeight(now, since, until time.Time) float64 {
	if until.IsZero() || !now.Before(until) {
		return 1
	}
	passed := float64(now.Sub(since)) / float64(until.Sub(since))
	return min(1, max(minColdWeight, passed))
}
