package jydiscovery_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// write returns a registration of server a by a process run.
func write(run jyregistry.Incarnation, sequence int64, s jyregistry.State) jyregistry.Event {
	r := server("a")
	r.Incarnation, r.Sequence, r.State = run, sequence, s
	return jyregistry.Registered(r)
}

// Guards against a feed that keeps only the last change of a server, or all removals after all registrations.
func TestFollowerThatIsBehindGetsTheChangesOfAServerInTheirOrder(t *testing.T) {
	left := jyregistry.Removed("a")
	tests := map[string]struct {
		events []jyregistry.Event
		want   []string
	}{
		"expired and back":                  {[]jyregistry.Event{left, write(1, 9, jyregistry.Ready)}, []string{"a"}},
		"crashed and started again":         {[]jyregistry.Event{left, write(2, 1, jyregistry.Ready)}, []string{"a"}},
		"back and gone":                     {[]jyregistry.Event{left, write(1, 9, jyregistry.Ready), left}, []string{}},
		"drained, then a late, older write": {[]jyregistry.Event{write(1, 7, jyregistry.Draining), write(1, 5, jyregistry.Ready)}, []string{}},
		"drained, gone, and started again":  {[]jyregistry.Event{write(1, 7, jyregistry.Draining), left, write(2, 1, jyregistry.Ready)}, []string{"a"}},
		"a late write of the run before":    {[]jyregistry.Event{write(2, 1, jyregistry.Draining), write(1, 9, jyregistry.Ready)}, []string{}},
		"one change only, as most of all":   {[]jyregistry.Event{write(1, 7, jyregistry.Draining)}, []string{}},
		"drained, then ready again":         {[]jyregistry.Event{write(1, 7, jyregistry.Draining), write(1, 8, jyregistry.Ready)}, []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newHistoryStore(configured(1), jydiscovery.Changes{Events: []jyregistry.Event{write(1, 4, jyregistry.Ready)}})
				r := newDiscovery(store, nil)
				defer start(t, r)()
				time.Sleep(2 * time.Second)
				before := r.Position()
				for _, e := range tt.events {
					store.write(jydiscovery.Changes{Events: []jyregistry.Event{e}})
					time.Sleep(time.Second)
				}
				answer, err := r.Follow(t.Context(), before, time.Second)
				require.NoError(t, err)
				raw, err := json.Marshal(answer.Changes)
				require.NoError(t, err)
				var got jydiscovery.Changes
				require.NoError(t, json.Unmarshal(raw, &got))

				follower := jyregistry.New(jyregistry.Config{})
				follower.Replace(time.Now(), []jyregistry.Registration{*write(1, 4, jyregistry.Ready).Registration})
				follower.Apply(time.Now(), got.Events)
				ids := []string{}
				for _, s := range follower.Servers() {
					ids = append(ids, string(s.ID))
				}
				assert.Equal(t, tt.want, ids)
			})
		})
	}
}

// olderChanges is what an older build reads and writes: it applies all registrations, then all removals.
type olderChanges struct {
	Revision   jydiscovery.Revision
	Registered []jyregistry.Registration
	Removed    []jyregistry.ID
}

func TestChangesAreExchangedWithInstancesOfAnOlderBuild(t *testing.T) {
	sent := jydiscovery.Changes{Position: jydiscovery.Position{Revision: 7}, Events: []jyregistry.Event{
		jyregistry.Removed("a"), write(2, 1, jyregistry.Ready), jyregistry.Registered(server("b")), jyregistry.Removed("b"),
	}}
	raw, err := json.Marshal(sent)
	require.NoError(t, err)
	var older olderChanges
	require.NoError(t, json.Unmarshal(raw, &older))
	assert.Equal(t, olderChanges{Revision: 7, Registered: []jyregistry.Registration{*write(2, 1, jyregistry.Ready).Registration}, Removed: []jyregistry.ID{"b"}}, older)

	raw, err = json.Marshal(older)
	require.NoError(t, err)
	var got jydiscovery.Changes
	require.NoError(t, json.Unmarshal(raw, &got))
	assert.Equal(t, []jyregistry.Event{write(2, 1, jyregistry.Ready), jyregistry.Removed("b")}, got.Events)
}
