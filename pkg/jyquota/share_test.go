package jyquota_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

const testedServer = "server-1"

var server = jyquota.Server{Name: testedServer, DataCentre: "dc-0"}

// instances returns a fleet of working instances, spread over the data centres.
func instances(count, centres int) []jyquota.Instance {
	var out []jyquota.Instance
	for i := range count {
		out = append(out, jyquota.Instance{
			Name: jyquota.InstanceName(fmt.Sprintf("entry-%d", i)), DataCentre: jyquota.DataCentreName(fmt.Sprintf("dc-%d", i%centres)),
		})
	}
	return out
}

// withDead returns the fleet as seen by an instance that considers the others outside of side dead for that long.
func withDead(fleet []jyquota.Instance, side []bool, deadFor time.Duration) []jyquota.Instance {
	out := slices.Clone(fleet)
	for i := range out {
		if !side[i] {
			out[i].DeadFor = deadFor
		}
	}
	return out
}

func TestSharesOfAFleetAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := instances(rapid.IntRange(1, 530).Draw(t, "instances"), rapid.IntRange(1, 6).Draw(t, "centres"))
		limit := jyquota.Rate(rapid.Float64Range(0, 400).Draw(t, "limit"))
		sum, equalSum, holders := 0.0, 0.0, 0
		for _, in := range fleet {
			share := jyquota.ShareOf(in.Name, server, limit, fleet)
			if share.PerSecond > 0 {
				holders++
				assert.Equal(t, server.DataCentre, in.DataCentre)
			}
			sum += float64(share.PerSecond)
			equalSum += float64(jyquota.EqualShareOf(in.Name, limit, fleet).PerSecond)
		}
		assert.InDelta(t, float64(limit.Applied()), sum, 1e-6)
		assert.InDelta(t, float64(limit.Applied()), equalSum, 1e-6)
		assert.LessOrEqual(t, float64(holders), math.Ceil(float64(limit))+1)
	})
}

func TestAnInstanceThatIsNoSharerGetsNothing(t *testing.T) {
	assert.Zero(t, jyquota.ShareOf("other", server, 100, instances(5, 1)))
	assert.Zero(t, jyquota.ShareOf("other", server, 100, nil))
}

func TestADataCentreWithoutSharersIsServedByTheOthers(t *testing.T) {
	var elsewhere []jyquota.Instance
	for _, in := range instances(9, 3) {
		if in.DataCentre != server.DataCentre {
			elsewhere = append(elsewhere, in)
		}
	}
	sum := jyquota.Rate(0)
	for _, in := range elsewhere {
		sum += jyquota.ShareOf(in.Name, server, 2, elsewhere).PerSecond
	}
	assert.InDelta(t, 2, float64(sum), 1e-9)
}

func TestSharers(t *testing.T) {
	fleet := instances(5, 1)
	tests := map[string]struct {
		working int // the first ones
		deadFor time.Duration
		want    int
	}{
		"all work":                             {working: 5, want: 5},
		"two just died":                        {working: 3, deadFor: 10 * time.Second, want: 5},
		"two died minutes ago":                 {working: 3, deadFor: 2 * time.Minute, want: 3},
		"most just seem dead":                  {working: 2, deadFor: 10 * time.Second, want: 5},
		"most seem dead, as in a cut-off part": {working: 2, deadFor: 2 * time.Minute, want: 0},
		"most have been dead for very long":    {working: 2, deadFor: time.Hour, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			side := make([]bool, len(fleet))
			for i := range tt.working {
				side[i] = true
			}
			assert.Len(t, jyquota.Sharers(withDead(fleet, side, tt.deadFor)), tt.want)
		})
	}
}

// TestTheTwoPartsOfADividedFleetStayWithinTheLimitTogether covers partitions of up to ten minutes that the parts notice within 25 s
// of each other.
func TestTheTwoPartsOfADividedFleetStayWithinTheLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := instances(rapid.IntRange(1, 60).Draw(t, "instances"), rapid.IntRange(1, 4).Draw(t, "centres"))
		limit := jyquota.Rate(rapid.Float64Range(0, 100).Draw(t, "limit"))
		deadFor := time.Duration(rapid.IntRange(26, 570).Draw(t, "seconds")) * time.Second
		lag := time.Duration(rapid.IntRange(-25, 25).Draw(t, "lag in seconds")) * time.Second
		parts := [2][]bool{make([]bool, len(fleet)), make([]bool, len(fleet))}
		for i := range fleet {
			parts[rapid.IntRange(0, 1).Draw(t, "part")][i] = true
		}
		sum := jyquota.Rate(0)
		for part, seen := range []time.Duration{deadFor, deadFor + lag} {
			sharers := jyquota.Sharers(withDead(fleet, parts[part], seen))
			for i, in := range fleet {
				if parts[part][i] {
					sum += jyquota.ShareOf(in.Name, server, limit, sharers).PerSecond
				}
			}
		}
		assert.LessOrEqual(t, float64(sum), float64(limit.Applied())+1e-9)
	})
}
