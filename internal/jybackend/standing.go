package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jyfloor"
)

// standingOf returns a server's seat by what the fleet and this instance find of it, and how bad that is.
func standingOf(s *Server, fleet, local []jydetector.Verdict) (seat, float64) {
	out := seat{server: s}
	score := 0.0
	if s.IsDraining(time.Now()) {
		out.standing = jyfloor.Draining
		return out, score
	}
	for _, w := range local {
		if string(w.Server) == string(s.Info.Name) && (w.Phase == jydetector.Ejected || w.Phase == jydetector.Probation) {
			out.standing, out.since, out.until, score = jyfloor.LocallyEjected, w.Since, w.Until, w.Score
			if w.Phase == jydetector.Probation {
				out.standing = jyfloor.Probation
			}
		}
	}
	for _, w := range fleet {
		if string(w.Server) != string(s.Info.Name) {
			continue
		}
		if st := standingFor(w.Phase); st > out.standing {
			out.standing, out.since, out.until, score = st, w.Since, w.Until, w.Score
		}
	}
	return out, score
}

func standingFor(p jydetector.Phase) jyfloor.HealthState {
	switch p {
	case jydetector.Cold:
		return jyfloor.Cold
	case jydetector.Probation:
		return jyfloor.Probation
	case jydetector.Ejected:
		return jyfloor.Ejected
	case jydetector.Draining:
		return jyfloor.Draining
	}
	return jyfloor.Serving
}

// Capacity is what a service has in use at this instance.
type Capacity struct {
	UsableSlots int
	AllSlots    int
	Readmitted  int
}

// Capacity returns the slots that take requests at full load.
func (v *Service) Capacity() Capacity {
	var c Capacity
	for _, s := range *v.all.Load() {
		c.AllSlots += s.server.Info.Slots
		if s.standing == jyfloor.Serving || s.readmitted {
			c.UsableSlots += s.server.Info.Slots
		}
		if s.readmitted {
			c.Readmitted++
		}
	}
	return c
}
