package jyplace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

var coverageConfig = jyplace.CoverageConfig{
	DegradedFailShare: 0.1, MinFailures: 3, DecayTime: time.Second,
	Normal:   jyplace.CoverageRule{ActiveShare: 0.5, ActiveWindow: 2 * time.Second, RetryableActiveWindow: time.Second},
	Degraded: jyplace.CoverageRule{ActiveShare: 0.8, ActiveWindow: time.Second, RetryableActiveWindow: 500 * time.Millisecond},
}

func TestTheDegradedRuleAppliesWhileManyRequestsFail(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		answered, failed uint32
		after            time.Duration
		isDegraded       bool
	}{
		"a small share of failures": {answered: 97, failed: 3, isDegraded: false},
		"a large share of failures": {answered: 17, failed: 5, isDegraded: true},
		"fewer than MinFailures":    {answered: 0, failed: 2, isDegraded: false},
		"a large share long ago":    {answered: 17, failed: 5, after: 5 * time.Second, isDegraded: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := jyplace.NewCoverage(coverageConfig)
			c.Observe(now, tt.answered, tt.failed)
			want := coverageConfig.Normal
			if tt.isDegraded {
				want = coverageConfig.Degraded
			}
			assert.Equal(t, want, c.RuleAt(now.Add(tt.after)))
		})
	}
}

func TestAServerIsIdleAfterTheActiveWindow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := coverageConfig.Degraded
	tests := map[string]struct {
		isRetryable bool
		idleAfter   time.Duration
	}{
		"for a request that is not retryable": {idleAfter: c.ActiveWindow},
		"for a retryable request":             {isRetryable: true, idleAfter: c.RetryableActiveWindow},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.False(t, c.IsIdle(now, now.Add(-tt.idleAfter), tt.isRetryable))
			assert.True(t, c.IsIdle(now, now.Add(-tt.idleAfter-time.Millisecond), tt.isRetryable))
		})
	}
}

func TestTheIdleServersMostLikelyToFailMayStayIdle(t *testing.T) {
	idle := func() []jyplace.IdleServer {
		return []jyplace.IdleServer{
			{Index: 0, FailChance: 0.9}, {Index: 1, FailChance: 0.1}, {Index: 2, FailChance: 0.5}, {Index: 3, FailChance: 0.1},
		}
	}
	tests := map[string]struct {
		maxIdle int
		want    []int
	}{
		"none may be idle":                       {maxIdle: 0, want: []int{1, 3, 2, 0}},
		"one may be idle, the likeliest to fail": {maxIdle: 1, want: []int{1, 3, 2}},
		"three may be idle":                      {maxIdle: 3, want: []int{1}},
		"as many as there are":                   {maxIdle: 4},
		"more than there are":                    {maxIdle: 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []int
			for _, x := range jyplace.SelectDueTrials(idle(), tt.maxIdle) {
				got = append(got, x.Index)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

func TestAServerThatFailedItsLastRequestIsInBackoff(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := jyplace.CoverageRule{FailureBackoff: 3 * time.Second}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		last, failed time.Time
		want         bool
	}{
		"it failed recently":                     {last: ago(2010 * time.Millisecond), failed: ago(2 * time.Second), want: true},
		"it failed when the request was sent":    {last: ago(2 * time.Second), failed: ago(2 * time.Second), want: true},
		"it failed long ago":                     {last: ago(3010 * time.Millisecond), failed: ago(3001 * time.Millisecond)},
		"it got another request since it failed": {last: ago(2 * time.Second), failed: ago(2500 * time.Millisecond)},
		"it never failed":                        {last: ago(2 * time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.want, c.IsInBackoff(now, tt.last, tt.failed)) })
	}
}

func TestServersInBackoffAreTriedLast(t *testing.T) {
	idle := []jyplace.IdleServer{{Index: 0, FailChance: 0.2, IsInBackoff: true}, {Index: 1, FailChance: 0.9}, {Index: 2, FailChance: 0.1}}
	got := jyplace.SelectDueTrials(idle, 1)
	assert.Equal(t, []int{2, 1}, []int{got[0].Index, got[1].Index})
}

func TestNoMoreServersAreIdleThanTheFloorAllows(t *testing.T) {
	strict := jyplace.CoverageRule{Floor: 0.7, ActiveShare: 1}
	tests := map[string]struct{ inBackoff, servers, want int }{
		"none in back-off":           {inBackoff: 0, servers: 10, want: 0},
		"two in back-off":            {inBackoff: 2, servers: 10, want: 2},
		"more than the floor allows": {inBackoff: 6, servers: 10, want: 3},
		"too few servers":            {inBackoff: 2, servers: 3, want: 0},
		"no servers":                 {inBackoff: 0, servers: 0, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.want, strict.MaxIdle(tt.inBackoff, []int{tt.servers}, 0)) })
	}
}

func TestDataCentresDivideTheAllowedIdleServers(t *testing.T) {
	c := jyplace.CoverageRule{Floor: 0.7, ActiveShare: 0.8}
	tests := map[string]struct {
		groups []int
		want   []int
	}{
		"many servers":                     {groups: []int{36, 35, 36, 35, 44}, want: []int{7, 7, 7, 7, 9}},
		"few servers, one may be idle":     {groups: []int{2, 2, 2}, want: []int{1, 0, 0}},
		"too few servers for any idle one": {groups: []int{1, 2}, want: []int{0, 0}},
		"a data centre without servers":    {groups: []int{0, 5}, want: []int{0, 1}},
		"no servers":                       {groups: []int{0}, want: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for group, want := range tt.want {
				assert.Equal(t, want, c.MaxIdleOutsideBackoff(tt.groups, group), "group %d", group)
			}
		})
	}
}

func TestGroupsTogetherNeverExceedTheAllowedIdleServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 6).Draw(t, "groups")
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		c := jyplace.CoverageRule{Floor: floor, ActiveShare: rapid.Float64Range(floor, 1).Draw(t, "share")}
		total, idle := 0, 0
		for group, n := range groups {
			allowed := c.MaxIdleOutsideBackoff(groups, group)
			assert.LessOrEqual(t, allowed, n)
			total += n
			idle += allowed
		}
		assert.GreaterOrEqual(t, float64(total-idle)+1e-6, floor*float64(total))
		assert.InDelta(t, (1-c.ActiveShare)*float64(total), float64(idle), 1)
	})
}

func TestTheFloorHoldsAmong34HealthyServers(t *testing.T) { checkFloorAmong(t, 34) }

func TestTheFloorHoldsAmong9HealthyServers(t *testing.T) { checkFloorAmong(t, 9) }

// checkFloorAmong draws the healthy servers of a large service at random, where as many servers are idle as the rule allows.
// It asserts that the floor holds among the healthy ones in all but one in a thousand draws.
func checkFloorAmong(t *testing.T, healthy int) {
	const floor, servers, tries = 0.7, 186, 20_000
	maxIdle := jyplace.DefaultCoverage(floor).Normal.MaxIdleOutsideBackoff([]int{servers}, 0)
	random := rand.New(rand.NewPCG(1, 2))
	belowFloor := 0
	for range tries {
		active := 0
		for _, server := range random.Perm(servers)[:healthy] {
			if server >= maxIdle {
				active++
			}
		}
		if float64(active) < floor*float64(healthy) {
			belowFloor++
		}
	}
	assert.Less(t, belowFloor, tries/1000)
}
