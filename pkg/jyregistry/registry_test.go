package jyregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

const returnTime = 2 * time.Second

var start = time.Unix(1_000_000, 0)

func newRegistry() *jyregistry.Registry {
	return jyregistry.New(jyregistry.Config{GracePeriod: returnTime})
}

func registration(id string, change func(*jyregistry.Registration)) jyregistry.Registration {
	r := jyregistry.Registration{ID: jyregistry.ID(id), Incarnation: 1, Service: "s", Slots: 4, State: jyregistry.Ready, Sequence: 1}
	if change != nil {
		change(&r)
	}
	return r
}

func ids(r *jyregistry.Registry) []string {
	out := []string{}
	for _, s := range r.Servers() {
		out = append(out, string(s.ID))
	}
	return out
}

func TestAServerThatDrainsOrIsGoneGetsNoWork(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil), registration("b", nil), registration("c", nil)})
	r.Put(start, registration("a", func(v *jyregistry.Registration) { v.State, v.Sequence = jyregistry.Draining, 2 }))
	r.Remove(start, "b")
	assert.Equal(t, []string{"c"}, ids(r))
}

func TestAnOlderStatementChangesNothing(t *testing.T) {
	drained := registration("a", func(v *jyregistry.Registration) { v.State, v.Sequence = jyregistry.Draining, 5 })
	tests := map[string]struct {
		late jyregistry.Registration
		want []string
	}{
		"an earlier one of the same start": {registration("a", func(v *jyregistry.Registration) { v.Sequence = 4 }), []string{}},
		"one of an earlier start":          {registration("a", func(v *jyregistry.Registration) { v.Incarnation, v.Sequence = 0, 9 }), []string{}},
		"the server's next start":          {registration("a", func(v *jyregistry.Registration) { v.Incarnation, v.Sequence = 2, 1 }), []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.Put(start, drained)
			r.Put(start, tt.late)
			assert.Equal(t, tt.want, ids(r))
		})
	}
}

func TestServersThatLapsedInAnOutageMayComeBack(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil), registration("b", nil)})
	r.MarkStoreUnavailable()
	back := start.Add(time.Minute)
	r.Replace(back, nil)
	assert.Equal(t, []string{"a", "b"}, ids(r), "they may live")
	r.Put(back.Add(time.Second), registration("a", func(v *jyregistry.Registration) { v.Sequence = 50 }))
	assert.False(t, r.Expire(back.Add(returnTime-time.Millisecond)))
	left, lapsed := r.UntilExpiry(back.Add(time.Second))
	assert.True(t, lapsed)
	assert.Equal(t, time.Second, left)
	assert.True(t, r.Expire(back.Add(returnTime)))
	assert.Equal(t, []string{"a"}, ids(r), "the other is gone")
}

func TestWithoutAnOutageWhatIsMissingIsGone(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil)})
	r.Replace(start.Add(time.Second), nil)
	assert.Empty(t, ids(r))
}

func TestADrainingServerDoesNotComeBackAfterAnOutage(t *testing.T) {
	r := newRegistry()
	r.Put(start, registration("a", func(v *jyregistry.Registration) { v.State = jyregistry.Draining }))
	r.MarkStoreUnavailable()
	r.Replace(start.Add(time.Minute), nil)
	assert.Empty(t, ids(r))
}

// naive keeps the last statements as a plain list, without outages.
type naive map[jyregistry.ID]jyregistry.Registration

func (n naive) put(r jyregistry.Registration) {
	old, known := n[r.ID]
	if known && (r.Incarnation < old.Incarnation || (r.Incarnation == old.Incarnation && r.Sequence < old.Sequence)) {
		return
	}
	n[r.ID] = r
}

func TestTheRegistryAgreesWithANaiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, n := newRegistry(), naive{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
				r.Remove(start, jyregistry.ID(id))
				delete(n, jyregistry.ID(id))
				continue
			}
			in := registration(id, func(v *jyregistry.Registration) {
				v.Incarnation = jyregistry.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				v.Sequence = int64(rapid.IntRange(1, 5).Draw(t, "sequence"))
				v.State = rapid.SampledFrom([]jyregistry.State{jyregistry.Ready, jyregistry.Draining}).Draw(t, "state")
			})
			r.Put(start, in)
			n.put(in)
		}
		var want []string
		for _, id := range []jyregistry.ID{"a", "b", "c"} {
			if v, known := n[id]; known && v.State == jyregistry.Ready {
				want = append(want, string(id))
			}
		}
		require.ElementsMatch(t, want, ids(r))
	})
}
