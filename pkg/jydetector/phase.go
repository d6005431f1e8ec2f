package jydetector

import "time"

func (d *Detector) eject(now time.Time, s *server, cause Cause, score float64) Change {
	change := Change{Server: s.Name, From: s.phase, To: Ejected, Cause: cause, Score: score}
	away := min(d.config.MaxEjectionTime, d.config.BaseEjectionTime<<s.strikes)
	s.strikes = min(s.strikes+1, maxStrikes)
	s.cause, s.score = cause, score
	s.enter(now, Ejected, now.Add(away))
	return change
}

func (d *Detector) drain(now time.Time, s *server) []Change {
	until := now.Add(d.config.DrainingTimeout)
	if s.phase == Draining {
		s.until = until
		return nil
	}
	change := Change{Server: s.Name, From: s.phase, To: Draining}
	s.enter(now, Draining, until)
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
		s.enter(now, Probation, now.Add(d.config.ProbationTimeout))
	case Cold:
		s.enter(now, Healthy, time.Time{})
	default:
		return d.warm(now, s)
	}
	change.To = s.phase
	return change
}

// ColdWeight returns the share of a full load that a server takes at this point of its Cold phase.
func ColdWeight(now, since, until time.Time) float64 {
	if until.IsZero() || !now.Before(until) {
		return 1
	}
	passed := float64(now.Sub(since)) / float64(until.Sub(since))
	return min(1, max(coldFirstPart, passed))
}
