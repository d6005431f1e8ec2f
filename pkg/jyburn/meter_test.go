package jyburn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyburn"
)

func TestTheMeterAgreesWithANaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m jyburn.Meter
		now := time.Unix(0, 0).Add(1000 * time.Hour)
		all := map[int64]jyburn.Count{}
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "minutes")) * time.Minute)
			good := rapid.Bool().Draw(t, "good")
			m.Add(now, good)
			minute := now.Unix() / 60
			c := all[minute]
			if good {
				c.Good++
			} else {
				c.Bad++
			}
			all[minute] = c
		}
		series := m.Series(now, time.Hour)
		require.Len(t, series, 60)
		for i, c := range series {
			require.Equal(t, all[now.Unix()/60-int64(59-i)], c)
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
		"a burn that goes on":              {func(int) uint32 { return 20 }, jyburn.Page},
		"a slow burn":                      {func(int) uint32 { return 8 }, jyburn.Ticket},
		"a burn that is over":              {func(m int) uint32 { return map[bool]uint32{true: 40}[m > 10 && m < 60] }, jyburn.NoAlert},
		"a spike too short to use up much": {func(m int) uint32 { return map[bool]uint32{true: 100}[m < 2] }, jyburn.NoAlert},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, jyburn.AlertFor(series(tt.bad), 0.999))
		})
	}
}
