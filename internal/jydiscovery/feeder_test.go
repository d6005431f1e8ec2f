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

// drainBound is the time after which no request may reach a server that left, by the first users' contract.
const drainBound = 2 * time.Second

// reader is an instance that others follow; while it is stopped, calls to it hang.
type reader struct {
	*jydiscovery.Discovery
	isStopped atomic.Bool
}

func (r *reader) Name() string { return "reader" }

func (r *reader) Follow(ctx context.Context, after jydiscovery.Revision, wait time.Duration) (jydiscovery.Changes, time.Duration, error) {
	c, proof, err := r.Discovery.Follow(ctx, after, wait)
	if r.isStopped.Load() {
		<-ctx.Done()
		return jydiscovery.Changes{}, 0, ctx.Err()
	}
	return c, proof, err
}

// pair is a reader and an instance that follows it, each with its own way to the store.
type pair struct {
	reader       *reader
	own, readers *fakeStore
	number       func() jynote.Number
	last         *atomic.Pointer[jynote.State]
}

// inPair runs a pair in virtual time.
func inPair(t *testing.T, body func(pair)) {
	synctest.Test(t, func(t *testing.T) {
		first := jydiscovery.Snapshot{Revision: 1, Configuration: version(1), Registrations: []jyregistry.Registration{server("a")}}
		p := pair{last: &atomic.Pointer[jynote.State]{}, own: &fakeStore{snapshot: first}, readers: &fakeStore{snapshot: first}}
		const wait = 900 * time.Millisecond
		ignore := func(jynote.State, []jyregistry.Server) {}
		p.reader = &reader{Discovery: jydiscovery.New(jydiscovery.Config{Store: p.readers, WatchWait: wait, OnState: ignore})}
		fed := jydiscovery.New(jydiscovery.Config{
			Store: p.own, WatchWait: wait, OnState: func(s jynote.State, _ []jyregistry.Server) { p.last.Store(&s) },
			FeedSource: func() (jydiscovery.FeedSource, bool) { return p.reader, true },
		})
		p.number = fed.ConfigurationVersion
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		for _, d := range []*jydiscovery.Discovery{p.reader.Discovery, fed} {
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

func TestAFedInstanceLeavesTheStoreAlone(t *testing.T) {
	inPair(t, func(p pair) {
		before := p.own.watches
		p.readers.set(func(f *fakeStore) { f.changes = []jydiscovery.Changes{{Revision: 2, Configuration: version(4)}} })
		time.Sleep(drainBound)
		assert.Equal(t, jynote.Number(4), p.number(), "it hears of changes in time")
		time.Sleep(20 * time.Second)
		assert.Equal(t, before, p.own.watches)
	})
}

func TestAFedInstanceKnowsInTimeWhateverHappensToItsReader(t *testing.T) {
	tests := map[string]func(pair){
		"nothing":                 func(pair) {},
		"it hangs":                func(p pair) { p.reader.isStopped.Store(true) },
		"the store turns it away": func(p pair) { p.readers.set(func(f *fakeStore) { f.away = true }) },
		"its history is gone":     func(p pair) { p.readers.set(func(f *fakeStore) { f.compacted = true }) },
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
				inPair(t, func(p pair) {
					time.Sleep(phase)
					happens(p)
					// Both see the same store.
					for _, store := range []*fakeStore{p.own, p.readers} {
						store.set(func(f *fakeStore) { f.changes = []jydiscovery.Changes{{Revision: 10, Configuration: version(4)}} })
					}
					time.Sleep(drainBound)
					assert.Equal(t, jynote.Number(4), p.number(), "phase %v", phase)
				})
			}
		})
	}
}

func TestAServerThatLapsedInAShortOutageStaysAtAFedInstance(t *testing.T) {
	inPair(t, func(p pair) {
		both := func(change func(*fakeStore)) {
			p.own.set(change)
			p.readers.set(change)
		}
		both(func(f *fakeStore) { f.away = true })
		time.Sleep(400 * time.Millisecond)
		both(func(f *fakeStore) {
			f.away = false
			f.changes = []jydiscovery.Changes{{Revision: 5, Removed: []jyregistry.ID{"a"}}}
		})
		time.Sleep(time.Second)
		assert.Equal(t, []string{"a"}, names(*p.last.Load()), "it may be back within two seconds")
		time.Sleep(4 * time.Second)
		assert.Empty(t, names(*p.last.Load()))
	})
}

// slowWay is a feeder whose answers, as of the arrival of the call, are under way for a time.
type slowWay time.Duration

func (slowWay) Name() string { return "reader" }

func (w slowWay) Follow(_ context.Context, after jydiscovery.Revision, _ time.Duration) (jydiscovery.Changes, time.Duration, error) {
	time.Sleep(time.Duration(w))
	return jydiscovery.Changes{Revision: after}, 0, nil
}

func TestTheTimeThatAnAnswerIsUnderWayCountsToItsAge(t *testing.T) {
	const way = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{snapshot: jydiscovery.Snapshot{Revision: 1, Configuration: version(1)}}
		d := jydiscovery.New(jydiscovery.Config{
			Store: store, WatchWait: time.Second, OnState: func(jynote.State, []jyregistry.Server) {},
			FeedSource: func() (jydiscovery.FeedSource, bool) { return slowWay(way), true },
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
			assert.GreaterOrEqual(t, d.DataAge(), way)
		}
		assert.Zero(t, store.watches)
		cancel()
		<-done
	})
}
