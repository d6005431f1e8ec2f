package jyrendezvous_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyrendezvous"
)

// topBySorting is a reference implementation of Top that sorts all names.
func topBySorting(key string, names []string, count int) []string {
	all := slices.Clone(names)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(jyrendezvous.Weight(key, b), jyrendezvous.Weight(key, a)), cmp.Compare(a, b))
	})
	return all[:min(count, len(all))]
}

func TestTopAgreesWithFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 0, 20, rapid.ID[string]).Draw(t, "names")
		key, count := rapid.String().Draw(t, "key"), rapid.IntRange(1, 5).Draw(t, "count")
		require.ElementsMatch(t, topBySorting(key, names, count), jyrendezvous.Top(key, names, count))
		require.Equal(t, topBySorting(key, names, count), append([]string{}, jyrendezvous.Top(key, names, count)...))
	})
}

func TestKeysAreSpreadEvenly(t *testing.T) {
	var names []string
	for i := range 15 {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	load := map[string]int{}
	for i := range 15_000 {
		load[jyrendezvous.Top(fmt.Sprintf("pool/service-%d", i), names, 1)[0]]++
	}
	for _, n := range names {
		assert.InDelta(t, 1000, load[n], 150, n)
	}
}
