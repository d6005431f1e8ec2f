package jydetector

import (
	"math"
	"time"
)

// windowHalfLife is the time over which the weight of old counts halves.
const windowHalfLife = 5 * time.Second

// priorAttempts damps the share that few attempts show.
const priorAttempts = 4

// window holds exponentially decaying counts.
type window struct {
	attempts float64
	marked   [len(channels)]float64
	updated  time.Time
}

// add takes counts; the window must be decayed to the present.
func (w *window) add(c Counts) {
	w.attempts += float64(c.Attempts)
	for i, ch := range channels {
		w.marked[i] += float64(ch.marked(c))
	}
}

func (w *window) decay(now time.Time) {
	if elapsed := now.Sub(w.updated); elapsed > 0 && !w.updated.IsZero() {
		f := math.Exp2(-float64(elapsed) / float64(windowHalfLife))
		w.attempts *= f
		for i := range w.marked {
			w.marked[i] *= f
		}
	}
	w.updated = now
}

func (w *window) share(channel int) float64 {
	return w.marked[channel] / (w.attempts + priorAttempts)
}

// rate returns attempts a second.
func (w *window) rate() float64 {
	return w.attempts * math.Ln2 / windowHalfLife.Seconds()
}
