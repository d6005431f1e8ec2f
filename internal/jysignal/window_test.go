package jysignal

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestWindowAcceptsEachRecentSequenceNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &window{}
		seen := map[uint64]bool{}
		highest := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "datagrams") {
			n := uint64(rapid.IntRange(1, 150).Draw(t, "sequence"))
			want := !seen[n] && n+windowSize > highest
			require.Equal(t, want, w.add(1, n))
			seen[n] = true
			highest = max(highest, n)
		}
	})
}

func TestWindowRejectsSequenceNumbersOfAnEarlierBoot(t *testing.T) {
	w := &window{}
	require.True(t, w.add(1, 40))
	require.True(t, w.add(2, 1), "a later boot starts an empty window")
	require.False(t, w.add(1, 41))
}
