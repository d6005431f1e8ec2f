package jyregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

const (
	gracePeriod   = 2 * time.Second
	confirmPeriod = 6 * time.Second
)

var start = time.Unix(1_000_000, 0)

func newRegistry() *jyregistry.Registry {
	return jyregistry.New(jyregistry.Config{GracePeriod: gracePeriod, ConfirmPeriod: confirmPeriod})
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

func TestDrainingAndRemovedServersAreNotListed(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil), registration("b", nil), registration("c", nil)})
	r.Put(start, registration("a", func(v *jyregistry.Registration) { v.State, v.Sequence = jyregistry.Draining, 2 }))
	r.Remove(start, "b")
	assert.Equal(t, []string{"c"}, ids(r))
}

func TestOlderRegistrationIsIgnored(t *testing.T) {
	drained := registration("a", func(v *jyregistry.Registration) { v.State, v.Sequence = jyregistry.Draining, 5 })
	tests := map[string]struct {
		update jyregistry.Registration
		want   []string
	}{
		"an earlier update of the same incarnation": {registration("a", func(v *jyregistry.Registration) { v.Sequence = 4 }), []string{}},
		"an update of an earlier incarnation": {
			registration("a", func(v *jyregistry.Registration) { v.Incarnation, v.Sequence = 0, 9 }),
			[]string{},
		},
		"the server's next incarnation": {
			registration("a", func(v *jyregistry.Registration) { v.Incarnation, v.Sequence = 2, 1 }),
			[]string{"a"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.Put(start, drained)
			r.Put(start, tt.update)
			assert.Equal(t, tt.want, ids(r))
		})
	}
}

func TestLapsedServersMayRegisterAgainInTheGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil), registration("b", nil)})
	r.MarkStoreUnavailable()
	recovered := start.Add(time.Minute)
	r.Replace(recovered, nil)
	assert.Equal(t, []string{"a", "b"}, ids(r), "lapsed servers stay listed")
	r.Put(recovered.Add(time.Second), registration("a", func(v *jyregistry.Registration) { v.Sequence = 50 }))
	assert.False(t, r.Expire(recovered.Add(gracePeriod-time.Millisecond)))
	left, lapsed := r.UntilExpiry(recovered.Add(time.Second))
	assert.True(t, lapsed)
	assert.Equal(t, time.Second, left)
	assert.True(t, r.Expire(recovered.Add(gracePeriod)))
	assert.Equal(t, []string{"a"}, ids(r), "the server that did not register again is removed")
}

func TestMissingServerIsRemovedWithoutAnOutage(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil)})
	r.Replace(start.Add(time.Second), nil)
	assert.Empty(t, ids(r))
}

func TestDrainingServerGetsNoGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Put(start, registration("a", func(v *jyregistry.Registration) { v.State = jyregistry.Draining }))
	r.MarkStoreUnavailable()
	r.Replace(start.Add(time.Minute), nil)
	assert.Empty(t, ids(r))
}

func TestRegistrationThatARestoredStoreBringsBackIsNotUsed(t *testing.T) {
	ready := registration("a", func(v *jyregistry.Registration) { v.Sequence = 4 })
	drained := registration("a", func(v *jyregistry.Registration) { v.State, v.Sequence = jyregistry.Draining, 7 })
	restarted := registration("a", func(v *jyregistry.Registration) { v.Incarnation, v.Sequence = 2, 1 })
	renewed := registration("a", func(v *jyregistry.Registration) { v.Sequence = 9 })
	const soon, confirmed = time.Second, time.Minute
	tests := map[string]struct {
		before    []jyregistry.Registration // written one after the other, then removed
		back      jyregistry.Registration
		wantSoon  []string
		wantLater []string // if the store still holds it after the time in which it expires
	}{
		"a server that drained and left":    {[]jyregistry.Registration{ready, drained}, ready, []string{}, []string{}},
		"a server that left unannounced":    {[]jyregistry.Registration{ready}, ready, []string{}, []string{"a"}},
		"an earlier incarnation":            {[]jyregistry.Registration{ready, restarted}, ready, []string{}, []string{}},
		"a server that registers once more": {[]jyregistry.Registration{ready}, renewed, []string{"a"}, []string{"a"}},
		"a server that restarted":           {[]jyregistry.Registration{ready, drained}, restarted, []string{"a"}, []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			for _, v := range tt.before {
				r.Put(start, v)
			}
			r.Remove(start, "a")
			r.MarkStoreRestored()
			r.Replace(start, []jyregistry.Registration{tt.back})
			r.Expire(start.Add(soon))
			assert.Equal(t, tt.wantSoon, ids(r))
			r.Expire(start.Add(confirmed))
			assert.Equal(t, tt.wantLater, ids(r))
		})
	}
}

func TestServerThatLapsedAndRegistersAgainIsUsedAtOnceWithoutARestoration(t *testing.T) {
	r := newRegistry()
	r.Put(start, registration("a", nil))
	r.Remove(start, "a")
	r.Put(start.Add(time.Second), registration("a", nil))
	assert.Equal(t, []string{"a"}, ids(r))
}

// referenceModel keeps the most recent registration of each server, without outages of the store.
type referenceModel map[jyregistry.ID]jyregistry.Registration

func (m referenceModel) put(r jyregistry.Registration) {
	old, known := m[r.ID]
	if known && (r.Incarnation < old.Incarnation || (r.Incarnation == old.Incarnation && r.Sequence < old.Sequence)) {
		return
	}
	m[r.ID] = r
}

// Guards against changes of one answer that are applied in another order than that in which the store made them.
func TestRegistryAgreesWithAReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, model := newRegistry(), referenceModel{}
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			events := rapid.SliceOfN(rapid.Custom(drawEvent), 0, 6).Draw(t, "events")
			r.Apply(start, events)
			for _, e := range events {
				if e.Registration == nil {
					delete(model, e.ID)
					continue
				}
				model.put(*e.Registration)
			}
		}
		var want []string
		for _, id := range []jyregistry.ID{"a", "b", "c"} {
			if v, known := model[id]; known && v.State == jyregistry.Ready {
				want = append(want, string(id))
			}
		}
		require.ElementsMatch(t, want, ids(r))
	})
}

func drawEvent(t *rapid.T) jyregistry.Event {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
		return jyregistry.Removed(jyregistry.ID(id))
	}
	return jyregistry.Registered(registration(id, func(v *jyregistry.Registration) {
		v.Incarnation = jyregistry.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
		v.Sequence = int64(rapid.IntRange(1, 5).Draw(t, "sequence"))
		v.State = rapid.SampledFrom([]jyregistry.State{jyregistry.Ready, jyregistry.Draining}).Draw(t, "state")
	}))
}
