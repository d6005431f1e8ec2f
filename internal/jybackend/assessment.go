package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jyfloor"
)

// assess returns a server's assessment and the score of the verdict that decided it. A server that stated that it is draining
// counts as draining; otherwise, the more severe of the fleet's and this instance's verdicts decides.
func assess(s *Server, fleet, local []jydetector.Verdict) (assessment, float64) {
	out := assessment{server: s}
	score := 0.0
	if s.IsDraining(time.Now()) {
		out.state = jyfloor.Draining
		return out, score
	}
	for _, w := range local {
		if string(w.Server) == string(s.Info.Name) && (w.Phase == jydetector.Ejected || w.Phase == jydetector.Probation) {
			out.state, out.since, out.until, score = jyfloor.LocallyEjected, w.Since, w.Until, w.Score
			if w.Phase == jydetector.Probation {
				out.state = jyfloor.Probation
			}
		}
	}
	for _, w := range fleet {
		if string(w.Server) != string(s.Info.Name) {
			continue
		}
		if state := stateOf(w.Phase); state > out.state {
			out.state, out.since, out.until, score = state, w.Since, w.Until, w.Score
		}
	}
	return out, score
}

// stateOf returns the health state for the phase of a verdict of the fleet.
func stateOf(p jydetector.Phase) jyfloor.HealthState {
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

// Capacity holds the capacity of a service as this instance uses it.
type Capacity struct {
	UsableSlots int // slots of the servers that get full load
	AllSlots    int // slots of all servers
	Readmitted  int // number of servers that get full load only to keep the floor
}

// Capacity returns the service's capacity by the current verdicts.
func (v *Service) Capacity() Capacity {
	var c Capacity
	for _, a := range *v.assessments.Load() {
		c.AllSlots += a.server.Info.Slots
		if a.state == jyfloor.Serving || a.readmitted {
			c.UsableSlots += a.server.Info.Slots
		}
		if a.readmitted {
			c.Readmitted++
		}
	}
	return c
}
