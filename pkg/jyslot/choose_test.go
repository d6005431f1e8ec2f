package jyslot_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyslot"
)

func TestChooseReturnsUsableServerIfAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jyslot.Candidate {
			return jyslot.Candidate{
				Slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
				InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"),
				Limit:    4,
				Weight:   rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "weight"),
			}
		}), 0, 8).Draw(t, "candidates")
		usable := map[int]bool{}
		for i, c := range list {
			if c.Weight > 0 && c.InFlight < c.Limit {
				usable[i] = true
			}
		}
		got := jyslot.Choose(len(list), func(i int) jyslot.Candidate { return list[i] }, rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b"))
		if len(usable) == 0 {
			require.Equal(t, jyslot.None, got)
			return
		}
		require.True(t, usable[got])
	})
}

func TestChooseReturnsLessLoadedOfTwo(t *testing.T) {
	list := []jyslot.Candidate{
		{Slots: 4, InFlight: 3, Limit: 4, Weight: 1},
		{Slots: 4, InFlight: 1, Limit: 4, Weight: 1},
	}
	at := func(i int) jyslot.Candidate { return list[i] }
	for a := range uint64(10) {
		assert.Equal(t, 1, jyslot.Choose(len(list), at, a, a*7))
	}
}
