package jyplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

func candidate(t *rapid.T) jyplace.Candidate {
	return jyplace.Candidate{
		FailChance:   rapid.Float64Range(0, 1).Draw(t, "fail"),
		InFlight:     float64(rapid.IntRange(0, 20).Draw(t, "load")),
		Slots:        rapid.IntRange(1, 4).Draw(t, "slots"),
		Slowdown:     1,
		DistanceCost: rapid.SampledFrom([]float64{0, 0.025}).Draw(t, "distance"),
		IsDueTrial:   rapid.Bool().Draw(t, "due"),
		IsExcluded:   rapid.Bool().Draw(t, "excluded"),
	}
}

var request = jyplace.Request{ServiceTime: 300 * time.Millisecond, Objective: 1200 * time.Millisecond}

func noJitter() float64 { return 0 }

func TestChooseAgreesWithANaiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(candidate), 0, 8).Draw(t, "candidates")
		got := jyplace.Choose(len(list), func(i int) jyplace.Candidate { return list[i] }, request, noJitter)
		// The naive search looks at the due trials first, then at all others.
		want := jyplace.None
		for _, due := range []bool{true, false} {
			for i, c := range list {
				if want != jyplace.None && list[want].IsDueTrial != due {
					break
				}
				if c.IsExcluded || c.IsDueTrial != due {
					continue
				}
				if want == jyplace.None || c.Loss(request) < list[want].Loss(request) {
					want = i
				}
			}
		}
		require.Equal(t, want, got)
	})
}

func TestLossGrowsWithEachFactor(t *testing.T) {
	base := jyplace.Candidate{FailChance: 0.1, InFlight: 4, Slots: 4, Slowdown: 1}
	tests := map[string]func(*jyplace.Candidate){
		"a higher chance of failure":   func(c *jyplace.Candidate) { c.FailChance = 0.2 },
		"a higher chance of a shed":    func(c *jyplace.Candidate) { c.ShedChance = 0.2 },
		"a longer queue":               func(c *jyplace.Candidate) { c.InFlight = 8 },
		"a slower server":              func(c *jyplace.Candidate) { c.Slowdown = 2 },
		"a distant server":             func(c *jyplace.Candidate) { c.DistanceCost = 0.025 },
		"fewer slots at the same load": func(c *jyplace.Candidate) { c.Slots = 2 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			worse := base
			change(&worse)
			assert.Greater(t, worse.Loss(request), base.Loss(request))
		})
	}
}

func TestARetryableRequestAcceptsAHigherChanceOfFailure(t *testing.T) {
	unreliable := jyplace.Candidate{FailChance: 0.3, Slots: 4, Slowdown: 1}
	busy := jyplace.Candidate{InFlight: 7, Slots: 4, Slowdown: 1}
	choose := func(r jyplace.Request) int {
		list := []jyplace.Candidate{unreliable, busy}
		return jyplace.Choose(len(list), func(i int) jyplace.Candidate { return list[i] }, r, noJitter)
	}
	assert.Equal(t, 1, choose(request))
	retryable := request
	retryable.IsRetryable = true
	assert.Equal(t, 0, choose(retryable))
}

func TestAnUntriedServerHasNoLossUntilItGetsARequest(t *testing.T) {
	c := jyplace.Candidate{FailChance: 0.3, Slots: 4, Slowdown: 2, IsUntried: true}
	assert.Zero(t, c.Loss(request))
	c.InFlight = 1
	assert.Positive(t, c.Loss(request))
}

func TestARequestThatWouldBeLateAvoidsTheLongQueue(t *testing.T) {
	list := []jyplace.Candidate{
		{FailChance: 0.02, InFlight: 40, Slots: 4, Slowdown: 1},
		{FailChance: 0.8, Slots: 4, Slowdown: 1},
	}
	at := func(i int) jyplace.Candidate { return list[i] }
	assert.Equal(t, 1, jyplace.Choose(len(list), at, request, noJitter))
	list[0].InFlight = 6
	assert.Equal(t, 0, jyplace.Choose(len(list), at, request, noJitter))
}
