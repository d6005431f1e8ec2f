package jyfloor_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyfloor"
)

func TestReadmit(t *testing.T) {
	s := func(state jyfloor.HealthState, score float64) jyfloor.Server {
		return jyfloor.Server{Slots: 2, State: state, Score: score}
	}
	tests := map[string]struct {
		servers []jyfloor.Server
		floor   int
		want    []int
	}{
		"no server while the floor is met": {[]jyfloor.Server{s(jyfloor.Serving, 0), s(jyfloor.Ejected, 9)}, 2, nil},
		"the lowest score first":           {[]jyfloor.Server{s(jyfloor.Ejected, 30), s(jyfloor.Ejected, 20)}, 2, []int{1}},
		"a locally ejected one before one ejected by the fleet": {
			[]jyfloor.Server{s(jyfloor.Ejected, 5), s(jyfloor.LocallyEjected, 50)}, 2, []int{1},
		},
		"a cold one before an ejected one": {
			[]jyfloor.Server{s(jyfloor.LocallyEjected, 1), s(jyfloor.Cold, 0)}, 2, []int{1},
		},
		"never a draining one":          {[]jyfloor.Server{s(jyfloor.Draining, 0)}, 2, nil},
		"one even if the floor is zero": {[]jyfloor.Server{s(jyfloor.Ejected, 1)}, 0, []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tt.want, jyfloor.Readmit(tt.servers, tt.floor))
		})
	}
}

// canHold reports whether the servers that are not draining have at least need slots together.
func canHold(servers []jyfloor.Server, need int) bool {
	all := 0
	for _, s := range servers {
		if s.State != jyfloor.Draining {
			all += s.Slots
		}
	}
	return all >= need
}

func TestFloorIsHeldWheneverPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) jyfloor.Server {
			return jyfloor.Server{
				Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
				State: jyfloor.HealthState(rapid.IntRange(0, int(jyfloor.Draining)).Draw(t, "state")),
				Score: rapid.Float64Range(0, 50).Draw(t, "score"),
			}
		}), 1, 12).Draw(t, "servers")
		floor := rapid.IntRange(0, 60).Draw(t, "floor")
		chosen := jyfloor.Readmit(servers, floor)
		have := 0
		for _, s := range servers {
			if s.State == jyfloor.Serving {
				have += s.Slots
			}
		}
		for i, k := range chosen {
			require.NotEqual(t, jyfloor.Draining, servers[k].State)
			require.Less(t, have, max(1, floor), "choice %d was not needed", i)
			have += servers[k].Slots
		}
		if canHold(servers, max(1, floor)) {
			require.GreaterOrEqual(t, have, floor)
		}
	})
}
