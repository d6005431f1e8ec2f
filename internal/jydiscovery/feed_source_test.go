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

// maxChangeDelay is the time within which a change must be applied: after it, no request may reach a server that left, by
// contract with the first users.
const maxChangeDelay = 2 * time.Second

// reader is an instance that reads the store and serves as a feed source; while hangs is set, calls to it do not return.
type reader struct {
	*jydiscovery.Discovery
	hangs atomic.Bool
}

func (r *reader) Name() string { return "reader" }

func (r *reader) Follow(ctx context.Context, after jydiscovery.Position, wait time.Duration) (jydiscovery.FeedAnswer, error) {
	answer, err := r.Discovery.Follow(ctx, after, wait)
	if r.hangs.Load() {
		<-ctx.Done()
		return jydiscovery.FeedAnswer{}, ctx.Err()
	}
	return answer, err
}

// pair is a reader and a follower, an instance that uses the reader as its feed source. Each has its own store.
type pair struct {
	reader *reader
	// store is the follower's.
	store, readerStore *fakeStore
	number             func() jynote.Number
	last               *atomic.Pointer[jynote.State]
}

// runPair runs a pair in virtual time.
func runPair(t *testing.T, body func(pair)) {
	synctest.Test(t, func(t *testing.T) {
		first := jydiscovery.Snapshot{Position: jydiscovery.Position{Revision: 1}, Configuration: version(1), Registrations: []jyregistry.Registration{server("a")}}
		p := pair{last: &atomic.Pointer[jynote.State]{}, store: &fakeStore{snapshot: first}, readerStore: &fakeStore{snapshot: first}}
		const wait = 900 * time.Millisecond
		ignore := func(jynote.State, []jyregistry.Server) {}
		p.reader = &reader{Discovery: jydiscovery.New(jydiscovery.Config{Store: p.readerStore, WatchWait: wait, OnState: ignore})}
		follower := jydiscovery.New(jydiscovery.Config{
			Store: p.store, WatchWait: wait, OnState: func(s jynote.State, _ []jyregistry.Server) { p.last.Store(&s) },
			FeedSource: func() (jydiscovery.FeedSource, bool) { return p.reader, true },
		})
		p.number = follower.ConfigurationVersion
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		for _, d := range []*jydiscovery.Discovery{p.reader.Discovery, follower} {
			go func() {
				_ = d.Run(ctx)
				done <- struct{}{}
			}()
		}
		time.Sleep(5 * time.Second)
		body(p)
		cancel()
		<-done
		<-done
	})
}

func TestStoreIsNotWatchedWhileTheFeedSourceAnswers(t *testing.T) {
	runPair(t, func(p pair) {
		before := p.store.watches
		p.readerStore.set(func(f *fakeStore) {
			f.changes = []jydiscovery.Changes{{Position: jydiscovery.Position{Revision: 2}, Configuration: version(4)}}
		})
		time.Sleep(maxChangeDelay)
		assert.Equal(t, jynote.Number(4), p.number(), "the follower applies the change in time")
		time.Sleep(20 * time.Second)
		assert.Equal(t, before, p.store.watches)
	})
}

func TestChangesArriveInTimeWhenTheFeedSourceFails(t *testing.T) {
	tests := map[string]func(pair){
		"no failure":                      func(pair) {},
		"the source hangs":                func(p pair) { p.reader.hangs.Store(true) },
		"the source's store is down":      func(p pair) { p.readerStore.set(func(f *fakeStore) { f.unavailable = true }) },
		"the source's store is compacted": func(p pair) { p.readerStore.set(func(f *fakeStore) { f.compacted = true }) },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				runPair(t, func(p pair) {
					time.Sleep(phase)
					fail(p)
					// Both stores hold the same change.
					for _, store := range []*fakeStore{p.store, p.readerStore} {
						store.set(func(f *fakeStore) {
							f.changes = []jydiscovery.Changes{{Position: jydiscovery.Position{Revision: 10}, Configuration: version(4)}}
						})
					}
					time.Sleep(maxChangeDelay)
					assert.Equal(t, jynote.Number(4), p.number(), "phase %v", phase)
				})
			}
		})
	}
}

func TestServerThatLapsedInAShortOutageStaysForTheGracePeriod(t *testing.T) {
	runPair(t, func(p pair) {
		both := func(change func(*fakeStore)) {
			p.store.set(change)
			p.readerStore.set(change)
		}
		both(func(f *fakeStore) { f.unavailable = true })
		time.Sleep(400 * time.Millisecond)
		both(func(f *fakeStore) {
			f.unavailable = false
			f.changes = []jydiscovery.Changes{{Position: jydiscovery.Position{Revision: 5}, Events: []jyregistry.Event{jyregistry.Removed("a")}}}
		})
		time.Sleep(time.Second)
		assert.Equal(t, []string{"a"}, identities(*p.last.Load()), "a lapsed server may register again within the grace period of 1.6 s")
		time.Sleep(4 * time.Second)
		assert.Empty(t, identities(*p.last.Load()))
	})
}

// slowSource is a feed source whose answers hold the state at the arrival of the call and are in transit for the given time.
type slowSource time.Duration

func (slowSource) Name() string { return "reader" }

func (s slowSource) Follow(_ context.Context, after jydiscovery.Position, _ time.Duration) (jydiscovery.FeedAnswer, error) {
	time.Sleep(time.Duration(s))
	return jydiscovery.FeedAnswer{Changes: jydiscovery.Changes{Position: after}}, nil
}

func TestDataAgeIncludesTheTransitTimeOfAnswers(t *testing.T) {
	const delay = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{snapshot: jydiscovery.Snapshot{Position: jydiscovery.Position{Revision: 1}, Configuration: version(1)}}
		d := jydiscovery.New(jydiscovery.Config{
			Store: store, WatchWait: time.Second, OnState: func(jynote.State, []jyregistry.Server) {},
			FeedSource: func() (jydiscovery.FeedSource, bool) { return slowSource(delay), true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			assert.GreaterOrEqual(t, d.DataAge(), delay)
		}
		assert.Zero(t, store.watches)
		cancel()
		<-done
	})
}
