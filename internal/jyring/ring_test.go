package jyring_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/internal/jyring"
)

func TestRingAgreesWithABoundedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		r := jyring.New[int](size)
		var want []int
		wantDropped := uint64(0)
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "drain") == 0 {
				require.Equal(t, want, r.Drain(nil))
				want = nil
				continue
			}
			r.Push(i)
			want = append(want, i)
			if len(want) > size {
				want = want[1:]
				wantDropped++
			}
		}
		require.Equal(t, wantDropped, r.Dropped())
	})
}
