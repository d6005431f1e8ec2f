package jydiscovery_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// fakeStore is a store in memory.
type fakeStore struct {
	mu          sync.Mutex
	snapshot    jydiscovery.Snapshot
	changes     []jydiscovery.Changes
	compacted   bool // the next watch fails with Compacted
	unavailable bool
	reads       int
	watches     int
	readDelay   time.Duration // how long a full read takes
}

func (f *fakeStore) Read(ctx context.Context) (jydiscovery.Snapshot, error) {
	select {
	case <-ctx.Done():
		return jydiscovery.Snapshot{}, jyfault.New("read", jydiscovery.Unreachable, "%w", ctx.Err())
	case <-time.After(f.readDelay):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.unavailable {
		return jydiscovery.Snapshot{}, jyfault.New("read", jydiscovery.Unreachable, "unavailable")
	}
	return f.snapshot, nil
}

func (f *fakeStore) Watch(ctx context.Context, after jydiscovery.Revision, wait time.Duration) (jydiscovery.Changes, error) {
	f.set(func(f *fakeStore) { f.watches++ })
	const step = 10 * time.Millisecond
	for left := wait; ; left -= step {
		c, isOver, err := f.next()
		if isOver {
			return c, err
		}
		if left <= 0 {
			return jydiscovery.Changes{Position: jydiscovery.Position{Revision: after}}, nil
		}
		select {
		case <-ctx.Done():
			return jydiscovery.Changes{}, jyfault.New("watch", jydiscovery.Unreachable, "%w", ctx.Err())
		case <-time.After(step):
		}
	}
}

// next returns the result of a watch if it ends now.
func (f *fakeStore) next() (c jydiscovery.Changes, isOver bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.unavailable:
		return c, true, jyfault.New("watch", jydiscovery.Unreachable, "unavailable")
	case f.compacted:
		f.compacted = false
		return c, true, jyfault.New("watch", jydiscovery.Compacted, "the history was compacted")
	case len(f.changes) > 0:
		c = f.changes[0]
		f.changes = f.changes[1:]
		return c, true, nil
	}
	return c, false, nil
}

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func version(n jynote.Number) *jydiscovery.Configuration {
	return &jydiscovery.Configuration{Version: n, Format: jydiscovery.ConfigurationFormat, Services: []jynote.Service{{Name: "s"}}}
}

func server(id string) jyregistry.Registration {
	return jyregistry.Registration{ID: jyregistry.ID(id), Incarnation: 1, Service: "s", Slots: 4, State: jyregistry.Ready}
}

// runSteps runs a discovery in virtual time and returns the state that is applied 4 s after the start of each step.
func runSteps(t *testing.T, store *fakeStore, steps ...func()) []jynote.State {
	var out []jynote.State
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var last jynote.State
		d := jydiscovery.New(jydiscovery.Config{Store: store, WatchWait: time.Second, OnState: func(s jynote.State, _ []jyregistry.Server) {
			mu.Lock()
			defer mu.Unlock()
			last = s
		}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.Run(ctx)
		}()
		for _, step := range steps {
			step()
			time.Sleep(4 * time.Second)
			mu.Lock()
			out = append(out, last)
			mu.Unlock()
		}
		cancel()
		<-done
	})
	return out
}

func identities(s jynote.State) []string {
	out := []string{}
	for _, b := range s.BackendServers {
		out = append(out, b.Identity)
	}
	return out
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	store := &fakeStore{snapshot: jydiscovery.Snapshot{Position: jydiscovery.Position{Revision: 1}, Configuration: version(7)}}
	states := runSteps(t, store,
		func() {},
		func() {
			store.set(func(f *fakeStore) {
				f.changes = []jydiscovery.Changes{{Position: jydiscovery.Position{Revision: 2}, Configuration: version(3)}}
			})
		},
		func() {
			store.set(func(f *fakeStore) {
				f.changes = []jydiscovery.Changes{{Position: jydiscovery.Position{Revision: 3}, Configuration: version(12)}}
			})
		})
	assert.Equal(t, jynote.Number(7), states[0].Number)
	assert.Equal(t, jynote.Number(7), states[1].Number)
	assert.Equal(t, jynote.Number(12), states[2].Number)
}

func TestFullReadFollowsACompactedHistory(t *testing.T) {
	store := &fakeStore{snapshot: jydiscovery.Snapshot{
		Position: jydiscovery.Position{Revision: 1}, Configuration: version(1), Registrations: []jyregistry.Registration{server("a"), server("b")},
	}}
	states := runSteps(t, store, func() {}, func() {
		store.set(func(f *fakeStore) {
			f.compacted = true
			f.snapshot = jydiscovery.Snapshot{Position: jydiscovery.Position{Revision: 9}, Configuration: version(2), Registrations: []jyregistry.Registration{server("b")}}
		})
	})
	assert.Equal(t, []string{"a", "b"}, identities(states[0]))
	assert.Equal(t, jynote.Number(2), states[1].Number)
	assert.Equal(t, []string{"b"}, identities(states[1]))
}

// Instances that start together share the link of the store, so that a full read may take seconds.
func TestSlowFullReadIsNotCutOff(t *testing.T) {
	store := &fakeStore{readDelay: 3500 * time.Millisecond, snapshot: jydiscovery.Snapshot{Position: jydiscovery.Position{Revision: 1}, Configuration: version(1)}}
	states := runSteps(t, store, func() {})
	assert.Equal(t, jynote.Number(1), states[0].Number)
	assert.Equal(t, 1, store.reads)
}

func TestServersStayInUseWhileTheStoreIsUnavailable(t *testing.T) {
	store := &fakeStore{snapshot: jydiscovery.Snapshot{
		Position: jydiscovery.Position{Revision: 1}, Configuration: version(1), Registrations: []jyregistry.Registration{server("a"), server("b")},
	}}
	states := runSteps(t, store,
		func() {},
		func() { store.set(func(f *fakeStore) { f.unavailable = true }) },
		func() {
			store.set(func(f *fakeStore) {
				f.unavailable = false
				f.changes = []jydiscovery.Changes{
					{Position: jydiscovery.Position{Revision: 5}, Events: []jyregistry.Event{jyregistry.Removed("a"), jyregistry.Removed("b")}},
					{Position: jydiscovery.Position{Revision: 6}, Events: []jyregistry.Event{jyregistry.Registered(server("b"))}},
				}
			})
		})
	assert.Equal(t, []string{"a", "b"}, identities(states[0]))
	assert.Equal(t, []string{"a", "b"}, identities(states[1]))
	assert.Equal(t, []string{"b"}, identities(states[2]), "a server that did not register again is removed")
}

func TestUnchangedStoreIsWatchedAboutOncePerWait(t *testing.T) {
	store := &fakeStore{snapshot: jydiscovery.Snapshot{Position: jydiscovery.Position{Revision: 1}, Configuration: version(1)}}
	runSteps(t, store, func() {})
	assert.Equal(t, 1, store.reads)
	assert.LessOrEqual(t, store.watches, 5)
}
