package jypeer

import (
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
)

// phases are the phases of a server in the order of their numbers on the wire.
var phases = [...]jydetector.Phase{
	jydetector.Healthy, jydetector.Cold, jydetector.Ejected, jydetector.Probation, jydetector.Draining,
}

// causes are the causes of an ejection in the order of their numbers on the wire.
var causes = [...]jydetector.Cause{"", jydetector.Failures, jydetector.SlowAnswers, jydetector.Relapse}

// indexOf returns the index of v in the list, 0 if it is not there.
func indexOf[T comparable](list []T, v T) int32 {
	for i, x := range list {
		if x == v {
			return int32(i)
		}
	}
	return 0
}

// elementAt returns the element at an index, the first one if the index is out of range.
func elementAt[T any](list []T, i int32) T {
	if i < 0 || int(i) >= len(list) {
		return list[0]
	}
	return list[i]
}

func countsToWire(c jydetector.Counts) *jywire.Counts {
	return &jywire.Counts{Attempts: c.Attempts, Failures: c.Failures, Slow: c.Slow}
}

func countsFromWire(c *jywire.Counts) jydetector.Counts {
	return jydetector.Counts{Attempts: c.GetAttempts(), Failures: c.GetFailures(), Slow: c.GetSlow()}
}

// TotalsToWire converts totals to their wire form.
func TotalsToWire(t jydetector.Totals) *jywire.Totals {
	return &jywire.Totals{Server: string(t.Server), Base: countsToWire(t.Base), Now: countsToWire(t.Now), Draining: t.Draining}
}

// TotalsFromWire converts totals from their wire form.
func TotalsFromWire(t *jywire.Totals) jydetector.Totals {
	return jydetector.Totals{
		Server: jydetector.ServerName(t.GetServer()), Base: countsFromWire(t.GetBase()), Now: countsFromWire(t.GetNow()), Draining: t.GetDraining(),
	}
}

// VerdictsToWire converts verdicts to their wire form. Times are sent as durations relative to now, since clocks differ.
func VerdictsToWire(now time.Time, list []jydetector.Verdict) []*jywire.Verdict {
	out := make([]*jywire.Verdict, 0, len(list))
	for _, v := range list {
		w := &jywire.Verdict{
			Server: string(v.Server), Phase: jywire.Phase(indexOf(phases[:], v.Phase)), Cause: jywire.Cause(indexOf(causes[:], v.Cause)),
			PassedMilliseconds: now.Sub(v.Since).Milliseconds(), Score: v.Score,
		}
		if !v.Until.IsZero() {
			w.RemainingMilliseconds = max(1, v.Until.Sub(now).Milliseconds())
		}
		out = append(out, w)
	}
	return out
}

// VerdictsFromWire converts verdicts from their wire form, with times relative to now on the local clock. An unknown phase
// becomes Healthy.
func VerdictsFromWire(now time.Time, list []*jywire.Verdict) []jydetector.Verdict {
	out := make([]jydetector.Verdict, 0, len(list))
	for _, w := range list {
		v := jydetector.Verdict{
			Server: jydetector.ServerName(w.GetServer()),
			Phase:  elementAt(phases[:], int32(w.GetPhase())),
			Cause:  elementAt(causes[:], int32(w.GetCause())),
			Since:  now.Add(-time.Duration(w.GetPassedMilliseconds()) * time.Millisecond), Score: w.GetScore(),
		}
		if ms := w.GetRemainingMilliseconds(); ms > 0 {
			v.Until = now.Add(time.Duration(ms) * time.Millisecond)
		}
		out = append(out, v)
	}
	return out
}
