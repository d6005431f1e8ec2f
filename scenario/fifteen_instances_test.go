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

func TestFifteenInstancesActAsOneWhileSomeAreLost(t *testing.T) {
	f := newFleet(t, 15, 8)
	f.drive(900)
	f.servers[3].SetFault(jystandin.Fault{FailShare: 0.5})
	f.waitUntilEjected(3)
	for _, e := range f.entries[:3] {
		f.end(e, syscall.SIGKILL)
	}
	f.end(f.entries[3], syscall.SIGTERM)
	left := f.entries[4:]
	f.platform.Publish(2, f.note(2, nil))
	f.waitFor("note 2 is in force at all that are left", func() bool {
		for _, e := range left {
			if s, ok := f.status(e); !ok || s.Release.Number != 2 {
				return false
			}
		}
		return true
	})
	f.waitFor("all that are left hold the lost ones dead, and the one that left as left", func() bool {
		for _, e := range left {
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
	f.waitFor("all are back with the note", func() bool { return f.inForce(2) })
	f.waitFor("nobody holds anybody dead", func() bool { return len(f.holdsDeadAny()) == 0 })
}

// holdsDeadAny returns the instances that any other holds dead.
func (f *fleet) holdsDeadAny() []string {
	var out []string
	for _, e := range f.entries {
		if f.holdsDead(e) {
			out = append(out, e.name)
		}
	}
	return out
}

// BenchmarkNoteInForce measures how long a note takes to be in force at 15 instances, each a process.
func BenchmarkNoteInForce(b *testing.B) {
	b.Run("steady", func(b *testing.B) { noteInForce(b, func(*fleet, jynote.Number) {}) })
	b.Run("stale and restarting", func(b *testing.B) {
		noteInForce(b, func(f *fleet, inForce jynote.Number) {
			// Half of the reads do not see the next note, and one instance begins again without anything.
			f.platform.SetStaleReadShare(inForce, 0.5)
			f.end(f.entries[7], syscall.SIGKILL)
			f.start(f.entries[7])
		})
	})
}

func noteInForce(b *testing.B, before func(f *fleet, inForce jynote.Number)) {
	f := newFleet(b, 15, 8)
	var took []time.Duration
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
		took = append(took, time.Since(published))
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds()*1000, "ms-p50")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "ms-p99")
	b.ReportMetric(took[len(took)-1].Seconds()*1000, "ms-max")
}
