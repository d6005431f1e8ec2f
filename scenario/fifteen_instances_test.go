package scenario_test

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

func TestFifteenInstancesAgreeWhileSomeAreLost(t *testing.T) {
	f := newFleet(t, 15, 8)
	f.sendReads(900)
	f.servers[3].SetFault(jystandin.Fault{FailShare: 0.5})
	f.waitUntilOnlyEjected(3)
	for _, e := range f.entries[:3] {
		f.signalAndWait(e, syscall.SIGKILL)
	}
	f.signalAndWait(f.entries[3], syscall.SIGTERM)
	remaining := f.entries[4:]
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("all remaining instances apply note 2", func() bool {
		for _, e := range remaining {
			if s, ok := f.status(e); !ok || s.Release.Number != 2 {
				return false
			}
		}
		return true
	})
	f.waitFor("all remaining instances consider the killed ones dead, and the one that left as left", func() bool {
		for _, e := range remaining {
			s, _ := f.status(e)
			count := map[string]int{}
			for _, m := range s.Members {
				count[m.Status]++
			}
			if count["Dead"] != 3 || count["Left"] != 1 || count["Alive"] != 10 {
				return false
			}
		}
		return true
	})
	for _, e := range f.entries[:4] {
		f.start(e)
	}
	f.waitFor("all instances are back with note 2", func() bool { return f.allReadyWithNote(2) })
	f.waitFor("no instance is considered dead", func() bool { return len(f.consideredDead()) == 0 })
}

// consideredDead returns the names of the instances that any instance considers dead.
func (f *fleet) consideredDead() []string {
	var out []string
	for _, e := range f.entries {
		if f.isConsideredDead(e) {
			out = append(out, e.name)
		}
	}
	return out
}

// BenchmarkNoteInForce measures the time from publishing a note until 15 instances, each a process, have applied it.
func BenchmarkNoteInForce(b *testing.B) {
	b.Run("steady", func(b *testing.B) { benchmarkNoteRollout(b, func(*fleet, jynote.Number) {}) })
	b.Run("stale and restarting", func(b *testing.B) {
		benchmarkNoteRollout(b, func(f *fleet, current jynote.Number) {
			// Half of the reads don't see the next note, and one instance restarts without state.
			f.platform.SetStaleReadShare(current, 0.5)
			f.signalAndWait(f.entries[7], syscall.SIGKILL)
			f.start(f.entries[7])
		})
	})
}

// benchmarkNoteRollout calls before ahead of each note, with the number of the current one.
func benchmarkNoteRollout(b *testing.B, before func(f *fleet, current jynote.Number)) {
	f := newFleet(b, 15, 8)
	var durations []time.Duration
	number := jynote.Number(1)
	for b.Loop() {
		before(f, number)
		number++
		published := time.Now()
		f.platform.Publish(number, []byte(fmt.Sprintf(`{"Number":%d,"Title":"measured"}`, number)))
		for _, e := range f.entries {
			for {
				if s, ok := f.status(e); ok && s.Release.Number >= number {
					break
				}
			}
		}
		durations = append(durations, time.Since(published))
	}
	slices.Sort(durations)
	b.ReportMetric(durations[len(durations)/2].Seconds()*1000, "ms-p50")
	b.ReportMetric(durations[len(durations)*99/100].Seconds()*1000, "ms-p99")
	b.ReportMetric(durations[len(durations)-1].Seconds()*1000, "ms-max")
}
