package jydetector

import (
	"math"
	"time"
)

// windowHalfLife is the time in which the weight of a count halves.
const windowHalfLife = 5 * time.Second

// priorAttempts are attempts without symptoms that are added to each window, to damp the share of a few attempts.
const priorAttempts = 4

// window holds exponentially decaying counts of one server.
type window struct {
	attempts float64
	affected [len(symptoms)]float64 // attempts that show a symptom, by its index in symptoms
	updated  time.Time              // the time to which the counts have decayed
}

// add adds new counts. The caller has called decay with the current time.
func (w *window) add(c Counts) {
	w.attempts += float64(c.Attempts)
	for i, sy := range symptoms {
		w.affected[i] += float64(sy.affected(c))
	}
}

// decay reduces the counts for the time that has passed since the last call.
func (w *window) decay(now time.Time) {
	if elapsed := now.Sub(w.updated); elapsed > 0 && !w.updated.IsZero() {
		f := math.Exp2(-float64(elapsed) / float64(windowHalfLife))
		w.attempts *= f
		for i := range w.affected {
			w.affected[i] *= f
		}
	}
	w.updated = now
}

// share returns the share of attempts that show a symptom, from 0 to 1.
func (w *window) share(symptomIndex int) float64 {
	return w.affected[symptomIndex] / (w.attempts + priorAttempts)
}

// rate returns the recent attempts per second.
func (w *window) rate() float64 {
	return w.attempts * math.Ln2 / windowHalfLife.Seconds()
}
