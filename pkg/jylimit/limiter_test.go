package jylimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jylimit"
)

var start = time.Unix(1_000_000, 0)

func TestCallerIsLimitedByRateAndConcurrency(t *testing.T) {
	l := jylimit.New(jylimit.Config{Rate: 10, Burst: 2, Concurrency: 2, MaxCallers: 10})
	begin := func(after time.Duration) (bool, time.Duration) { return l.Begin(start.Add(after), "a") }
	first, _ := begin(0)
	second, _ := begin(0)
	third, _ := begin(0)
	assert.True(t, first && second)
	assert.False(t, third, "two requests are in progress")
	l.End("a")
	l.End("a")
	again, wait := begin(0)
	assert.False(t, again, "the burst is used up")
	assert.Equal(t, 100*time.Millisecond, wait)
	later, _ := begin(wait)
	assert.True(t, later)
	other, _ := l.Begin(start, "b")
	assert.True(t, other, "other callers are not limited")
}

// admitsByReplay reports whether a token bucket, recomputed from all earlier admissions of a caller, admits one more request.
func admitsByReplay(admitted []time.Time, now time.Time, rate float64, burst int) bool {
	tokens, last := float64(burst), start
	for _, t := range admitted {
		tokens = min(float64(burst), tokens+t.Sub(last).Seconds()*rate) - 1
		last = t
	}
	return min(float64(burst), tokens+now.Sub(last).Seconds()*rate) >= 1-1e-9
}

func TestLimiterAgreesWithReplayOfAdmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 4.0, 3
		l := jylimit.New(jylimit.Config{Rate: rate, Burst: burst, Concurrency: 1000, MaxCallers: 10})
		var admitted []time.Time
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			// Steps of half the time of one token keep the floating-point sums exact.
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "eighths")) * time.Second / 8)
			got, _ := l.Begin(now, "a")
			require.Equal(t, admitsByReplay(admitted, now, rate, burst), got)
			if got {
				admitted = append(admitted, now)
			}
		}
	})
}

func TestCallersWithRequestsInProgressAreNotEvicted(t *testing.T) {
	l := jylimit.New(jylimit.Config{Rate: 1, Burst: 1, Concurrency: 1, MaxCallers: 4})
	l.Begin(start, "busy")
	for i := range 20 {
		caller := fmt.Sprint(i)
		l.Begin(start, caller)
		l.End(caller)
	}
	admitted, _ := l.Begin(start, "busy")
	assert.False(t, admitted)
}
