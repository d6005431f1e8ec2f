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
			want := coverageConfig.Normal
			if tt.want {
				want = coverageConfig.Degraded
			}
			assert.Equal(t, want, c.RuleAt(now.Add(tt.after)))
		})
	}
}

func TestAServerIsIdleOnceItGotNoRequestLately(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := coverageConfig.Degraded
	tests := map[string]struct {
		isRepeatable bool
		idleAfter    time.Duration
	}{
		"in the eyes of a request that must not be repeated": {idleAfter: c.ActiveWindow},
		"in the eyes of one that may be repeated":            {isRepeatable: true, idleAfter: c.RetryableActiveWindow},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.False(t, c.IsIdle(now, now.Add(-tt.idleAfter), tt.isRepeatable))
			assert.True(t, c.IsIdle(now, now.Add(-tt.idleAfter-time.Millisecond), tt.isRepeatable))
		})
	}
}

func TestTheMostDoubtfulIdleServersMayRest(t *testing.T) {
	idle := func() []jyplace.IdleServer {
		return []jyplace.IdleServer{
			{Index: 0, FailChance: 0.9}, {Index: 1, FailChance: 0.1}, {Index: 2, FailChance: 0.5}, {Index: 3, FailChance: 0.1},
		}
	}
	tests := map[string]struct {
		mayRest int
		want    []int
	}{
		"none may":                   {mayRest: 0, want: []int{1, 3, 2, 0}},
		"one may, the most doubtful": {mayRest: 1, want: []int{1, 3, 2}},
		"three may":                  {mayRest: 3, want: []int{1}},
		"as many as there are":       {mayRest: 4},
		"more than there are":        {mayRest: 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []int
			for _, x := range jyplace.SelectDueTrials(idle(), tt.mayRest) {
				got = append(got, x.Index)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

func TestAServerThatFailedItsLastRequestRests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := jyplace.CoverageRule{FailureBackoff: 3 * time.Second}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		last, failed time.Time
		want         bool
	}{
		"it failed just now":                     {last: ago(2010 * time.Millisecond), failed: ago(2 * time.Second), want: true},
		"it failed at the moment it was sent":    {last: ago(2 * time.Second), failed: ago(2 * time.Second), want: true},
		"it failed long ago":                     {last: ago(3010 * time.Millisecond), failed: ago(3001 * time.Millisecond)},
		"it got another request since it failed": {last: ago(2 * time.Second), failed: ago(2500 * time.Millisecond)},
		"it never failed":                        {last: ago(2 * time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.want, c.IsInBackoff(now, tt.last, tt.failed)) })
	}
}

func TestServersThatRestAfterAFailureAreTriedLast(t *testing.T) {
	idle := []jyplace.IdleServer{{Index: 0, FailChance: 0.2, IsInBackoff: true}, {Index: 1, FailChance: 0.9}, {Index: 2, FailChance: 0.1}}
	got := jyplace.SelectDueTrials(idle, 1)
	assert.Equal(t, []int{2, 1}, []int{got[0].Index, got[1].Index})
}

func TestNoMoreServersAreIdleThanTheFloorAllows(t *testing.T) {
	strict := jyplace.CoverageRule{Floor: 0.7, ActiveShare: 1}
	tests := map[string]struct{ resting, servers, want int }{
		"none rests":               {resting: 0, servers: 10, want: 0},
		"two rest":                 {resting: 2, servers: 10, want: 2},
		"more rest than may":       {resting: 6, servers: 10, want: 3},
		"so few that none may":     {resting: 2, servers: 3, want: 0},
		"a group without a server": {resting: 0, servers: 0, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.want, strict.MaxIdle(tt.resting, []int{tt.servers}, 0)) })
	}
}

func TestDataCentresDivideWhatTheServiceMaySpare(t *testing.T) {
	c := jyplace.CoverageRule{Floor: 0.7, ActiveShare: 0.8}
	tests := map[string]struct {
		groups []int
		want   []int
	}{
		"many servers":                      {groups: []int{36, 35, 36, 35, 44}, want: []int{7, 7, 7, 7, 9}},
		"few servers, one may rest":         {groups: []int{2, 2, 2}, want: []int{1, 0, 0}},
		"so few that the floor allows none": {groups: []int{1, 2}, want: []int{0, 0}},
		"a data centre without servers":     {groups: []int{0, 5}, want: []int{0, 1}},
		"no servers":                        {groups: []int{0}, want: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for own, want := range tt.want {
				assert.Equal(t, want, c.MaxIdleOutsideBackoff(tt.groups, own), "group %d", own)
			}
		})
	}
}

func TestGroupsTogetherNeverSpareMoreThanTheServiceMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 6).Draw(t, "groups")
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		c := jyplace.CoverageRule{Floor: floor, ActiveShare: rapid.Float64Range(floor, 1).Draw(t, "share")}
		total, spared := 0, 0
		for own, n := range groups {
			mine := c.MaxIdleOutsideBackoff(groups, own)
			assert.LessOrEqual(t, mine, n)
			total += n
			spared += mine
		}
		assert.GreaterOrEqual(t, float64(total-spared)+1e-6, floor*float64(total))
		assert.InDelta(t, (1-c.ActiveShare)*float64(total), float64(spared), 1)
	})
}

func TestTheFloorHoldsAmongTheFewServersWithoutAFault(t *testing.T) { checkFloorAmong(t, 34) }

func TestTheFloorHoldsAmongNineServersWithoutAFault(t *testing.T) { checkFloorAmong(t, 9) }

// checkFloorAmong draws the servers without a fault from those of a large service, and asserts that the floor holds among them
// in all but one in a thousand draws.
func checkFloorAmong(t *testing.T, sound int) {
	const floor, servers, tries = 0.7, 186, 20_000
	mayRest := jyplace.DefaultCoverage(floor).Normal.MaxIdleOutsideBackoff([]int{servers}, 0)
	random := rand.New(rand.NewPCG(1, 2))
	undercut := 0
	for range tries {
		used := 0
		for _, server := range random.Perm(servers)[:sound] {
			if server >= mayRest {
				used++
			}
		}
		if float64(used) < floor*float64(sound) {
			undercut++
		}
	}
	assert.Less(t, undercut, tries/1000)
}
