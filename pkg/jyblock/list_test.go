package jyblock_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
)

var (
	start    = time.Unix(1_000_000, 0)
	crashing = jyblock.Fingerprint{1}
	harmless = jyblock.Fingerprint{2}
)

// run returns a crash of a server that ran a request between two offsets from start.
func run(server jyblock.ServerName, began, ended time.Duration) jyblock.Crash {
	return jyblock.Crash{Server: server, Began: start.Add(began), Ended: start.Add(ended)}
}

func TestIsBlocked(t *testing.T) {
	first, second := run("a", -3*time.Second, -2*time.Second), run("b", -time.Second, 0)
	atOnce := run("b", -3*time.Second, -2*time.Second)
	crash := func(l *jyblock.List, idempotent bool, crashes ...jyblock.Crash) {
		for _, c := range crashes {
			l.RecordCrash(start, crashing, c, idempotent)
		}
	}
	tests := map[string]struct {
		apply func(l *jyblock.List)
		after time.Duration
		want  bool
	}{
		"nothing happened":                                    {func(*jyblock.List) {}, 0, false},
		"an idempotent request crashed one server":            {func(l *jyblock.List) { crash(l, true, first) }, 0, false},
		"an idempotent request crashed the same server twice": {func(l *jyblock.List) { crash(l, true, first, run("a", -time.Second, 0)) }, 0, false},
		"an idempotent request crashed two servers":           {func(l *jyblock.List) { crash(l, true, first, second) }, 0, true},
		"the second crash was reported first":                 {func(l *jyblock.List) { crash(l, true, second, first) }, 0, true},
		"a non-idempotent request crashed one server":         {func(l *jyblock.List) { crash(l, false, first) }, 0, true},
		"it ran at two servers that crashed at once":          {func(l *jyblock.List) { crash(l, true, first, atOnce) }, 0, false},
		"it ran at two servers that crashed at once, then at a third": {func(l *jyblock.List) {
			crash(l, true, first, atOnce, run("c", -time.Second, 0))
		}, 0, true},
		"one server crashed here and another at a peer": {func(l *jyblock.List) {
			crash(l, true, first)
			l.Merge(start, crashing, []jyblock.Crash{second}, false)
		}, 0, true},
		"one server crashed here and another at a peer at once": {func(l *jyblock.List) {
			crash(l, true, first)
			l.Merge(start, crashing, []jyblock.Crash{atOnce}, false)
		}, 0, false},
		"it was answered shortly before": {func(l *jyblock.List) {
			l.RecordAnswer(start, crashing)
			crash(l, false, first)
		}, 0, false},
		"it was answered here shortly before a peer blocked it": {func(l *jyblock.List) {
			l.RecordAnswer(start, crashing)
			l.Merge(start, crashing, []jyblock.Crash{first, second}, true)
		}, 0, false},
		"it was answered between two crashes": {func(l *jyblock.List) {
			crash(l, true, first)
			l.RecordAnswer(start, crashing)
			l.Merge(start, crashing, []jyblock.Crash{second}, false)
		}, 0, false},
		"it was answered after it was blocked": {func(l *jyblock.List) {
			crash(l, true, first, second)
			l.RecordAnswer(start, crashing)
		}, 0, false},
		"one crash, after SingleCrashTTL":                            {func(l *jyblock.List) { crash(l, false, first) }, 2 * time.Minute, false},
		"two crashes, after SingleCrashTTL and before MultiCrashTTL": {func(l *jyblock.List) { crash(l, true, first, second) }, 2 * time.Minute, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := jyblock.New(jyblock.Config{MultiCrashTTL: 5 * time.Minute, SingleCrashTTL: time.Minute, AnsweredTTL: 10 * time.Second})
			tt.apply(l)
			assert.Equal(t, tt.want, l.IsBlocked(start.Add(tt.after), crashing))
			assert.False(t, l.IsBlocked(start, harmless))
		})
	}
}

// longestChain returns the largest number of crashes of which each began after the one before had ended, by trying all subsets.
func longestChain(crashes []jyblock.Crash) int {
	best := 0
	for subset := range 1 << len(crashes) {
		var chosen []jyblock.Crash
		for i, c := range crashes {
			if subset&(1<<i) != 0 {
				chosen = append(chosen, c)
			}
		}
		slices.SortFunc(chosen, func(a, b jyblock.Crash) int { return a.Ended.Compare(b.Ended) })
		isChain := true
		for i := 1; i < len(chosen); i++ {
			isChain = isChain && !chosen[i].Began.Before(chosen[i-1].Ended)
		}
		if isChain {
			best = max(best, len(chosen))
		}
	}
	return best
}

func TestRequestIsBlockedFromTwoSeparateCrashesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := jyblock.New(jyblock.Config{MultiCrashTTL: time.Hour, SingleCrashTTL: time.Hour, AnsweredTTL: time.Second})
		var crashes []jyblock.Crash
		for i := range rapid.IntRange(0, 6).Draw(t, "crashes") {
			began := time.Duration(rapid.IntRange(0, 8).Draw(t, "began")) * time.Second
			lasted := time.Duration(rapid.IntRange(1, 4).Draw(t, "lasted")) * time.Second
			crashes = append(crashes, run(jyblock.ServerName(rune('a'+i)), began, began+lasted))
			l.RecordCrash(start, crashing, crashes[i], true)
		}
		require.Equal(t, longestChain(crashes) >= 2, l.IsBlocked(start, crashing))
	})
}

func TestListIsBounded(t *testing.T) {
	l := jyblock.New(jyblock.Config{MultiCrashTTL: time.Hour, SingleCrashTTL: time.Hour, AnsweredTTL: time.Second})
	for i := range jyblock.MaxSuspects + 100 {
		l.RecordCrash(start, jyblock.Fingerprint{byte(i), byte(i >> 8), 1}, run("a", -time.Second, 0), false)
	}
	assert.Equal(t, jyblock.MaxSuspects, l.Len())
}
