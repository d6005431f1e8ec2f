package jydetector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
)

var start = time.Unix(1_000_000, 0)

const (
	servers   = 6
	slots     = 4 // of each server
	reporters = 9
	centres   = 3 // data centres, among which the reporters are divided
)

func name(i int) jydetector.ServerName { return jydetector.ServerName(fmt.Sprintf("server-%d", i)) }

// newDetector returns a detector of healthy servers. floor is in slots.
func newDetector(floor int) *jydetector.Detector {
	d := jydetector.New(jydetector.Config{ServerDaysPerFalseEjection: 1000, FloorSlots: floor})
	var list []jydetector.Server
	for i := range servers {
		list = append(list, jydetector.Server{Name: name(i), Slots: slots})
	}
	d.SetServers(start, list)
	return d
}

// traffic feeds a detector with the reports of simulated instances.
type traffic struct {
	detector *jydetector.Detector
	random   *rand.Rand
	now      time.Time
	counts   [reporters][servers]jydetector.Counts // cumulative
	changes  []jydetector.Change                   // all that the detector returned
	// fails returns the chance that an attempt of a reporter at a server fails.
	fails func(reporter, server int) float64
}

func newTraffic(seed uint64, floor int) *traffic {
	return &traffic{
		detector: newDetector(floor), random: rand.New(rand.NewPCG(seed, 2)), now: start,
		fails: func(int, int) float64 { return 0.001 },
	}
}

// run simulates 45 requests per second to each server, by one attempt of each reporter in 200 ms.
func (f *traffic) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(200 * time.Millisecond)
		for r := range reporters {
			report := jydetector.Report{
				Reporter: jydetector.ReporterName(fmt.Sprint("entry-", r)), Group: jydetector.GroupName(fmt.Sprint("dc-", r%centres)), Boot: 1,
			}
			for s := range servers {
				base := f.counts[r][s]
				c := &f.counts[r][s]
				c.Attempts++
				if f.random.Float64() < f.fails(r, s) {
					c.Failures++
				}
				report.Totals = append(report.Totals, jydetector.Totals{Server: name(s), Base: base, Now: *c})
			}
			f.changes = append(f.changes, f.detector.Observe(f.now, report)...)
		}
	}
}

// ejected returns the servers that have been ejected at least once.
func (f *traffic) ejected() map[jydetector.ServerName]bool {
	out := map[jydetector.ServerName]bool{}
	for _, c := range f.changes {
		if c.To == jydetector.Ejected {
			out[c.Server] = true
		}
	}
	return out
}

func TestWhichServersAreEjected(t *testing.T) {
	at := func(share float64, which func(reporter, server int) bool) func(int, int) float64 {
		return func(r, s int) float64 {
			if which(r, s) {
				return share
			}
			return 0.001
		}
	}
	tests := map[string]struct {
		fails func(reporter, server int) float64
		want  []int
	}{
		"none if all servers are healthy":               {fails: at(0, func(int, int) bool { return false })},
		"the server that fails all requests":            {fails: at(1, func(_, s int) bool { return s == 2 }), want: []int{2}},
		"the server that fails 5 % of requests":         {fails: at(0.05, func(_, s int) bool { return s == 2 }), want: []int{2}},
		"both servers that fail half of requests":       {fails: at(0.5, func(_, s int) bool { return s < 2 }), want: []int{0, 1}},
		"none if one instance cannot reach a server":    {fails: at(1, func(r, s int) bool { return r == 4 && s == 2 })},
		"none if one data centre cannot reach a server": {fails: at(1, func(r, s int) bool { return r%centres == 1 && s == 2 })},
		"none if one instance reports only failures":    {fails: at(1, func(r, _ int) bool { return r == 4 })},
		"none if all servers fail half of requests":     {fails: at(0.5, func(int, int) bool { return true })},
		"none if all servers fail all requests":         {fails: at(1, func(int, int) bool { return true })},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newTraffic(seed, servers*slots/2)
				f.run(20 * time.Second)
				f.fails = tt.fails
				f.run(40 * time.Second)
				want := map[jydetector.ServerName]bool{}
				for _, s := range tt.want {
					want[jydetector.ServerName(fmt.Sprint("server-", s))] = true
				}
				assert.Equal(t, want, f.ejected(), "seed %d", seed)
			}
		})
	}
}

func TestAnEjectedServerReturnsAfterItRecovers(t *testing.T) {
	f := newTraffic(1, 0)
	f.fails = func(_, s int) float64 { return map[bool]float64{true: 1}[s == 2] }
	f.run(2 * time.Second)
	require.Equal(t, jydetector.Ejected, f.detector.Verdicts()[0].Phase)

	f.fails = func(int, int) float64 { return 0 }
	f.run(jydetector.DefaultBaseEjectionTime + jydetector.DefaultColdTime + 5*time.Second)
	assert.Empty(t, f.detector.Verdicts())
}

func TestRepeatedEjectionsOfAServerLastLonger(t *testing.T) {
	f := newTraffic(1, 0)
	f.fails = func(_, s int) float64 { return map[bool]float64{true: 1}[s == 2] }
	f.run(2 * time.Minute)
	v := f.detector.Verdicts()[0]
	assert.Greater(t, v.Until.Sub(v.Since), 4*jydetector.DefaultBaseEjectionTime-time.Second)
	assert.Equal(t, jydetector.Relapse, v.Cause)
}

func TestADrainingServerChangesPhaseOnce(t *testing.T) {
	d := newDetector(servers * slots)
	report := jydetector.Report{Reporter: "entry-1", Boot: 1, Totals: []jydetector.Totals{
		{Server: name(1), Now: jydetector.Counts{Attempts: 1}, Draining: true},
	}}
	changes := d.Observe(start, report)
	require.Len(t, changes, 1)
	assert.Equal(t, jydetector.Draining, changes[0].To)
	assert.Empty(t, d.Observe(start.Add(time.Second), report), "a repeated report changes nothing")
}

// drawReport draws the next report of a reporter and updates the cumulative counts.
func drawReport(t *rapid.T, counts *[reporters][servers]jydetector.Counts) jydetector.Report {
	r := rapid.IntRange(0, reporters-1).Draw(t, "reporter")
	report := jydetector.Report{
		Reporter: jydetector.ReporterName(fmt.Sprint("entry-", r)), Group: jydetector.GroupName(fmt.Sprint("dc-", r%centres)), Boot: 1,
	}
	for range rapid.IntRange(1, servers).Draw(t, "totals") {
		s := rapid.IntRange(0, servers-1).Draw(t, "server")
		base := counts[r][s]
		n := rapid.Uint64Range(1, 20).Draw(t, "attempts")
		counts[r][s].Attempts += n
		counts[r][s].Failures += rapid.Uint64Range(0, n).Draw(t, "failures")
		counts[r][s].Slow += rapid.Uint64Range(0, n).Draw(t, "slow")
		report.Totals = append(report.Totals, jydetector.Totals{Server: name(s), Base: base, Now: counts[r][s]})
	}
	return report
}

// Guards against attempts that are counted twice, which would raise the score of a test without new evidence.
func TestDuplicateAndOutdatedReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unique, duplicated := newDetector(8), newDetector(8)
		var counts [reporters][servers]jydetector.Counts
		var sent []jydetector.Report
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			report := drawReport(t, &counts)
			sent = append(sent, report)
			unique.Observe(now, report)
			duplicated.Observe(now, report)
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				duplicated.Observe(now, rapid.SampledFrom(sent).Draw(t, "repeated"))
			}
			require.Equal(t, unique.Verdicts(), duplicated.Verdicts())
		}
	})
}

func TestNoEjectionTakesTheServiceBelowItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, servers*slots).Draw(t, "floor")
		d := newDetector(floor)
		var counts [reporters][servers]jydetector.Counts
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "milliseconds")) * time.Millisecond)
			for _, c := range d.Observe(now, drawReport(t, &counts)) {
				// A server on probation doesn't count towards the floor, so its ejection removes no slots.
				if c.To != jydetector.Ejected || c.From == jydetector.Probation {
					continue
				}
				healthy := servers - len(d.Verdicts())
				require.GreaterOrEqual(t, healthy*slots, floor)
			}
		}
	})
}

func TestTheSameReportsLeadToTheSameVerdicts(t *testing.T) {
	one, other := newTraffic(3, 8), newTraffic(3, 8)
	for _, f := range []*traffic{one, other} {
		f.fails = func(_, s int) float64 { return 0.1 * float64(s) }
		f.run(time.Minute)
	}
	assert.Equal(t, one.changes, other.changes)
	assert.Equal(t, one.detector.Verdicts(), other.detector.Verdicts())
}
