package jyquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// fleetUse replays a fleet in virtual time. In each step, demand requests arrive at each instance, and are sent if the instance's
// bucket has a token for them. It returns the sent requests.
func fleetUse(fleet []jyquota.Instance, limit jyquota.Rate, steps int, demand func(step int) int, restarts func(step, instance int) bool) []jyhoststandin.Request {
	const step = 50 * time.Millisecond
	buckets := make([]jyquota.Bucket, len(fleet))
	shares := make([]jyquota.Share, len(fleet))
	for i, in := range fleet {
		shares[i] = jyquota.ShareOf(in.Name, server, limit, fleet)
	}
	var out []jyhoststandin.Request
	now := time.Unix(1000, 0)
	for n := range steps {
		for i := range fleet {
			if restarts(n, i) {
				buckets[i] = jyquota.Bucket{}
			}
			for range demand(n) {
				// Servers are asked whether they have room before one is chosen.
				if buckets[i].Has(now, shares[i]) && buckets[i].Take(now, shares[i]) {
					out = append(out, jyhoststandin.Request{At: now})
				}
			}
		}
		now = now.Add(step)
	}
	return out
}

func never(int, int) bool { return false }

// assertWithin checks the platform's bound on the requests at a server with a limit.
func assertWithin(t assert.TestingT, limit jyquota.Rate, sent []jyhoststandin.Request) {
	most := jyhoststandin.MostInLimitWindow(sent, time.Time{})
	assert.LessOrEqual(t, float64(most), jyhoststandin.AllowedInLimitWindow(float64(limit)))
}

func TestAFleetStaysWithinALimitWhateverTheDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := instances(rapid.IntRange(1, 120).Draw(t, "instances"), rapid.IntRange(1, 5).Draw(t, "centres"))
		limit := jyquota.Rate(rapid.Float64Range(0, 60).Draw(t, "limit"))
		pause := rapid.IntRange(1, 200).Draw(t, "steps between bursts")
		size := rapid.IntRange(1, 20).Draw(t, "burst")
		sent := fleetUse(fleet, limit, 400, func(step int) int {
			if step%pause == 0 {
				return size
			}
			return 0
		}, never)
		assertWithin(t, limit, sent)
	})
}

func TestALimitIsUsedIfThereIsDemand(t *testing.T) {
	for _, limit := range []jyquota.Rate{0.5, 1.5, 2.4, 20} {
		fleet := instances(15, 3)
		sent := fleetUse(fleet, limit, 2000, func(int) int { return 1 }, never)
		const seconds = 100
		assert.InDelta(t, float64(limit)*seconds, len(sent), 0.1*float64(limit)*seconds, "limit %g", float64(limit))
	}
}

func TestInstancesThatStartAgainDoNotExceedALimit(t *testing.T) {
	fleet := instances(15, 3)
	const limit, stepsPerRestart = 1.5, 20
	sent := fleetUse(fleet, limit, 2000, func(int) int { return 2 }, func(step, i int) bool { return (step+7*i)%stepsPerRestart == 0 })
	assertWithin(t, limit, sent)
}

func TestALimitThatIsStatedAsZeroGetsAFewRequests(t *testing.T) {
	sent := fleetUse(instances(15, 3), 0, 2000, func(int) int { return 1 }, never)
	assert.NotEmpty(t, sent, "else nobody would learn that it ended")
	assertWithin(t, 0, sent)
}

func TestABucketDoesNotRefillWhenTimeGoesBack(t *testing.T) {
	var b jyquota.Bucket
	share := jyquota.Share{PerSecond: 1}
	now := time.Unix(1000, 0)
	assert.False(t, b.Take(now, share))
	now = now.Add(time.Second)
	assert.True(t, b.Take(now, share))
	assert.False(t, b.Take(now.Add(-time.Minute), share))
	assert.False(t, b.Has(now.Add(900*time.Millisecond), share))
	assert.True(t, b.Has(now.Add(time.Second), share))
}
