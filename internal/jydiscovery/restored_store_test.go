package jydiscovery_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

func configured(n jynote.Number) jydiscovery.Changes {
	return jydiscovery.Changes{Configuration: version(n)}
}

func registered(id string) jydiscovery.Changes {
	return jydiscovery.Changes{Events: []jyregistry.Event{jyregistry.Registered(server(id))}}
}

func removed(id jyregistry.ID) jydiscovery.Changes {
	return jydiscovery.Changes{Events: []jyregistry.Event{jyregistry.Removed(id)}}
}

// newDiscovery returns a discovery of a store, with a feed source unless it is nil.
func newDiscovery(store jydiscovery.Store, source jydiscovery.FeedSource) *jydiscovery.Discovery {
	return jydiscovery.New(jydiscovery.Config{
		Store: store, WatchWait: 900 * time.Millisecond, OnState: func(jynote.State, []jyregistry.Server) {},
		FeedSource: func() (jydiscovery.FeedSource, bool) { return source, source != nil },
	})
}

// start runs discoveries until the returned function is called.
func start(t *testing.T, discoveries ...*jydiscovery.Discovery) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, len(discoveries))
	for _, d := range discoveries {
		go func() {
			_ = d.Run(ctx)
			done <- struct{}{}
		}()
	}
	return func() {
		cancel()
		for range discoveries {
			<-done
		}
	}
}

// The restored store has given out the instance's revision again when the instance asks, so that its watch is valid there.
func TestChangeAtARepeatedRevisionOfARestoredStoreIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newHistoryStore(configured(1), configured(2), configured(3))
		d := newDiscovery(store, nil)
		defer start(t, d)()
		time.Sleep(2 * time.Second)
		store.turnAway(true)
		time.Sleep(time.Second)
		store.restore(1)
		store.write(configured(4))
		store.write(registered("a"))
		store.write(registered("b"))
		store.turnAway(false)
		time.Sleep(maxChangeDelay)
		assert.Equal(t, jynote.Number(4), d.ConfigurationVersion())
	})
}

// The reader gets to know that its history is gone, and reads the whole store; the follower holds a higher revision of the lost one.
func TestChangesArriveThroughAnInstanceThatReadARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newHistoryStore(configured(1), registered("a"), registered("b"), registered("c"), configured(2))
		r := &reader{Discovery: newDiscovery(store, nil)}
		follower := newDiscovery(store, r)
		defer start(t, r.Discovery, follower)()
		time.Sleep(2 * time.Second)
		store.restore(1)
		time.Sleep(2 * time.Second)
		store.write(configured(3))
		time.Sleep(maxChangeDelay)
		assert.Equal(t, jynote.Number(3), r.ConfigurationVersion())
		assert.Equal(t, jynote.Number(3), follower.ConfigurationVersion())
	})
}

func TestChangesOfARestoredStoreArriveInTimeAtAFollower(t *testing.T) {
	tests := map[string][]jydiscovery.Changes{
		"below the held revision":     {configured(3)},
		"up to the held revision":     {configured(3), registered("a"), registered("b")},
		"beyond the held revision":    {configured(3), registered("a"), registered("b"), registered("c")},
		"at the end, as the held one": {registered("a"), registered("b"), configured(3)},
	}
	for name, changes := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store := newHistoryStore(configured(1), registered("a"), registered("b"), configured(2))
					r := &reader{Discovery: newDiscovery(store, nil)}
					follower := newDiscovery(store, r)
					defer start(t, r.Discovery, follower)()
					time.Sleep(2*time.Second + phase)
					store.restore(1)
					for _, c := range changes {
						store.write(c)
					}
					time.Sleep(maxChangeDelay)
					assert.Equal(t, jynote.Number(3), follower.ConfigurationVersion(), "phase %v", phase)
				})
			}
		})
	}
}

// serversAfterRestoration returns the servers in use at points in time after the restoration.
func serversAfterRestoration(t *testing.T, restore func(*historyStore), after ...time.Duration) [][]string {
	var out [][]string
	synctest.Test(t, func(t *testing.T) {
		store := newHistoryStore(configured(1), registered("a"), registered("b"))
		var last atomic.Pointer[jynote.State]
		d := jydiscovery.New(jydiscovery.Config{
			Store: store, WatchWait: 900 * time.Millisecond, OnState: func(s jynote.State, _ []jyregistry.Server) { last.Store(&s) },
		})
		defer start(t, d)()
		time.Sleep(2 * time.Second)
		restore(store)
		restored := time.Now()
		for _, offset := range after {
			time.Sleep(time.Until(restored.Add(offset)))
			out = append(out, identities(*last.Load()))
		}
	})
	return out
}

// The instance sees no outage: its watches come before and after the restoration.
func TestServerThatRegisteredSinceTheCopyMayRegisterAgain(t *testing.T) {
	const stillWaiting, registeredAgain, gone = 1500 * time.Millisecond, 4 * time.Second, 6 * time.Second
	got := serversAfterRestoration(t, func(s *historyStore) {
		s.restore(1)
		time.AfterFunc(1600*time.Millisecond, func() { s.write(registered("a")) })
	}, stillWaiting, registeredAgain, gone)
	assert.Equal(t, [][]string{{"a", "b"}, {"a"}, {"a"}}, got, "b does not register again")
}

// peer is an instance that holds a version of the configuration; fetches counts the calls to it.
type peer struct {
	version jynote.Number
	fetches atomic.Int32
}

func (p *peer) Name() string { return "peer" }

func (p *peer) FetchConfiguration(context.Context, jynote.Number) (*jydiscovery.Configuration, error) {
	p.fetches.Add(1)
	return version(p.version), nil
}

func TestInstanceThatStartsFromAnOldCopyTakesTheConfigurationOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var applied []jynote.Number
		d := jydiscovery.New(jydiscovery.Config{
			Store: newHistoryStore(configured(1)), WatchWait: 900 * time.Millisecond,
			OnState: func(s jynote.State, _ []jyregistry.Server) { applied = append(applied, s.Number) },
		})
		d.Offer(&peer{version: 2}, 2)
		d.Offer(&peer{version: 5}, 5)
		stop := start(t, d)
		time.Sleep(2 * time.Second)
		stop()
		assert.Equal(t, []jynote.Number{5}, applied, "the older configuration is never applied")
	})
}

func TestInstanceWhoseStoreLostAConfigurationTakesItFromItsPeers(t *testing.T) {
	tests := map[string]struct {
		change      func(*historyStore)
		wantVersion jynote.Number
		wantFetches int32
	}{
		"the store has lost it":                  {func(*historyStore) {}, 5, 1},
		"it arrives from the store in time":      {func(s *historyStore) { s.write(configured(5)) }, 5, 0},
		"a newer one arrives from the store":     {func(s *historyStore) { s.write(configured(6)) }, 6, 0},
		"an older one than the peers' is stored": {func(s *historyStore) { s.write(configured(4)) }, 5, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newHistoryStore(configured(1))
				d := newDiscovery(store, nil)
				defer start(t, d)()
				time.Sleep(2 * time.Second)
				p := &peer{version: 5}
				d.Offer(p, 5)
				tt.change(store)
				time.Sleep(3 * time.Second)
				assert.Equal(t, tt.wantVersion, d.ConfigurationVersion())
				assert.Equal(t, tt.wantFetches, p.fetches.Load())
			})
		})
	}
}
