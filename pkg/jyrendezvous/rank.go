package jyrendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the pseudo-random weight of a name for a key.
func Weight(key, name string) uint64 {
	// The multiplication distinguishes the key from the name: without it, equal texts would cancel to 0.
	h := xxhash.Sum64String(key)*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(name)
	// The finalizer of MurmurHash3 spreads the two hash sums over all bits.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

type weightedName[N ~string] struct {
	name   N
	weight uint64
}

// Top returns the count names with the highest weights for the key, highest first, or all if there are fewer. Names of equal
// weight are in alphabetical order.
func Top[N ~string](key string, names []N, count int) []N {
	top := make([]weightedName[N], 0, count+1)
	for _, n := range names {
		w := weightedName[N]{n, Weight(key, string(n))}
		i, _ := slices.BinarySearchFunc(top, w, func(a, b weightedName[N]) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
		})
		if i >= count {
			continue
		}
		top = slices.Insert(top, i, w)
		top = top[:min(len(top), count)]
	}
	out := make([]N, 0, len(top))
	for _, w := range top {
		out = append(out, w.name)
	}
	return out
}
