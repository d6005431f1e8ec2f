package jybackend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

func TestNoticesOfAServerAreKeptWhenItsEntryChanges(t *testing.T) {
	state := func(number jynote.Number, connections int, servers ...jynote.ServerName) jynote.State {
		out := jynote.State{Number: number, Services: []jynote.Service{{Name: "s"}}}
		for _, name := range servers {
			out.BackendServers = append(out.BackendServers, jynote.BackendServer{
				Name: name, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc-0", Slots: 4, Connections: connections,
			})
		}
		return out
	}
	tests := map[string][]jynote.State{
		"its connections are changed":     {state(3, 200, "a", "b")},
		"it is removed and returns later": {state(3, 300, "b"), state(4, 300, "a", "b")},
	}
	for name, states := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDirectory("dc-0", 0)
			d.Apply(state(2, 300, "a", "b"))
			now := time.Now()
			before := d.Snapshot()
			before.Server("s", "a").MarkDraining(now)
			for _, s := range states {
				d.Apply(s)
			}
			// This request was sent before the change and is answered after it.
			before.Server("s", "b").Pause(now, time.Minute)
			after := d.Snapshot()
			assert.True(t, after.Server("s", "a").IsDraining(now))
			assert.Greater(t, after.Server("s", "b").PauseRemaining(now), 50*time.Second)
			_, err := after.Service("s").Choose(now, jybackend.Requirements{Objective: time.Second})
			assert.Error(t, err, "no server is available")
		})
	}
}

func TestRejectedCallersComeBackWhenTheFirstPauseEnds(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		pauses   []time.Duration // of the first servers
		draining int             // number of the last servers that drain
		want     time.Duration
	}{
		"none is paused":                     {},
		"two of three are paused":            {pauses: []time.Duration{time.Minute, 2 * time.Minute}},
		"all are paused":                     {pauses: []time.Duration{3 * time.Minute, time.Minute, 2 * time.Minute}, want: time.Minute},
		"all are paused but one that drains": {pauses: []time.Duration{3 * time.Minute, 2 * time.Minute}, draining: 1, want: 2 * time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := newService(3)
			for i, d := range tt.pauses {
				v.Servers[i].Pause(now, d)
			}
			for _, s := range v.Servers[len(v.Servers)-tt.draining:] {
				s.MarkDraining(now)
			}
			assert.Equal(t, tt.want, v.RetryAfter(now))
		})
	}
}
