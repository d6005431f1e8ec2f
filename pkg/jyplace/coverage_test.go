package jyplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

var coverageConfig = jyplace.CoverageConfig{
	FailShare: 0.1, MinFailures: 3, Memory: time.Second,
	Calm:    jyplace.Cover{Share: 0.5, Lately: 2 * time.Second, MaxFailChance: 0.4},
	Trouble: jyplace.Cover{Share: 0.8, Lately: time.Second, MaxFailChance: 0.5},
}

func TestCoverageIsWiderWhileAServiceFails(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		answered, failed uint32
		after            time.Duration
		want             bool
	}{
		"few failures of many":        {answered: 97, failed: 3, want: false},
		"many failures":               {answered: 17, failed: 5, want: true},
		"too few to tell":             {answered: 0, failed: 2, want: false},
		"failures that are long past": {answered: 17, failed: 5, after: 5 * time.Second, want: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := jyplace.NewCoverage(coverageConfig)
			c.Observe(now, tt.answered, tt.failed)
			want := coverageConfig.Calm
			if tt.want {
				want = coverageConfig.Trouble
			}
			assert.Equal(t, want, c.Now(now.Add(tt.after)))
		})
	}
}

func TestCoverageCountsTheServersThatGotARequestLately(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := coverageConfig.Trouble
	recent, old := now.Add(-500*time.Millisecond), now.Add(-2*time.Second)
	assert.False(t, c.Lacks(now, []time.Time{recent, recent, recent, recent, old}))
	assert.True(t, c.Lacks(now, []time.Time{recent, recent, recent, old, old}))
}

func TestADoubtedServerIsTriedAgainMoreSeldom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := jyplace.Cover{
		Share: 1, Lately: time.Second, MaxFailChance: 0.5, Doubted: 3 * time.Second, DoubtedRepeatable: 2 * time.Second,
	}
	tests := map[string]struct {
		cover        jyplace.Cover
		failChance   float64
		isRepeatable bool
		due          time.Duration
	}{
		"a trusted server":                         {cover: c, failChance: 0.1, due: time.Second},
		"a doubted server":                         {cover: c, failChance: 0.9, due: 3 * time.Second},
		"a doubted server, by repeatable requests": {cover: c, failChance: 0.9, isRepeatable: true, due: 2 * time.Second},
		"a doubted server where that is not asked": {cover: coverageConfig.Calm, failChance: 0.9, due: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			isDue := func(after time.Duration) bool {
				return tt.cover.IsDue(now, now.Add(-after), tt.failChance, tt.isRepeatable)
			}
			assert.False(t, isDue(tt.due))
			assert.Equal(t, tt.due > 0, isDue(tt.due+time.Millisecond))
		})
	}
}
