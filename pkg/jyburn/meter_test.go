package jyburn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyburn"
)

func TestSeriesAgreesWithCountsByMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m jyburn.Meter
		now := time.Unix(0, 0).Add(1000 * time.Hour)
		byMinute := map[int64]jyburn.Count{}
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "minutes")) * time.Minute)
			good := rapid.Bool().Draw(t, "good")
			m.Add(now, good)
			minute := now.Unix() / 60
			c := byMinute[minute]
			if good {
				c.Good++
			} else {
				c.Bad++
			}
			byMinute[minute] = c
		}
		series := m.Series(now, time.Hour)
		require.Len(t, series, 60)
		for i, c := range series {
			require.Equal(t, byMinute[now.Unix()/60-int64(59-i)], c)
		}
	})
}

func TestAlertFor(t *testing.T) {
	series := func(bad func(minutesAgo int) uint32) []jyburn.Count {
		out := make([]jyburn.Count, 360)
		for i := range out {
			b := bad(359 - i)
			out[i] = jyburn.Count{Good: 1000 - b, Bad: b}
		}
		return out
	}
	tests := map[string]struct {
		bad  func(minutesAgo int) uint32
		want jyburn.Alert
	}{
		"a healthy service":                {func(int) uint32 { return 1 }, jyburn.NoAlert},
		"a fast burn that continues":       {func(int) uint32 { return 20 }, jyburn.Page},
		"a slow burn":                      {func(int) uint32 { return 8 }, jyburn.Ticket},
		"a fast burn that has ended":       {func(m int) uint32 { return map[bool]uint32{true: 40}[m > 10 && m < 60] }, jyburn.NoAlert},
		"a spike too short to use up much": {func(m int) uint32 { return map[bool]uint32{true: 100}[m < 2] }, jyburn.NoAlert},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, jyburn.AlertFor(series(tt.bad), 0.999))
		})
	}
}
