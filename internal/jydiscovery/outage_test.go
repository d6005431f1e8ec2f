package jydiscovery_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// observed is a discovery with its last state.
type observed struct {
	*jydiscovery.Discovery
	last atomic.Pointer[jynote.State]
}

func newObserved(store jydiscovery.Store, source jydiscovery.FeedSource) *observed {
	o := &observed{}
	o.Discovery = jydiscovery.New(jydiscovery.Config{
		Store: store, WatchWait: 900 * time.Millisecond, OnState: func(s jynote.State, _ []jyregistry.Server) { o.last.Store(&s) },
		FeedSource: func() (jydiscovery.FeedSource, bool) { return source, source != nil },
	})
	return o
}

// Guards against a server that left between two outages and gets requests until another entry changes.
func TestServerThatLeavesBetweenTwoOutagesIsNotUsed(t *testing.T) {
	const outage, sound = 2 * time.Second, 5 * time.Second
	for untilSecond := time.Duration(0); untilSecond < 2*time.Second; untilSecond += 200 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := newHistoryStore(configured(1), registered("a"), registered("b"))
			r := newObserved(store, nil)
			follower := newObserved(store, &reader{Discovery: r.Discovery})
			defer start(t, r.Discovery, follower.Discovery)()
			time.Sleep(2 * time.Second)
			store.turnAway(true)
			time.Sleep(outage)
			store.turnAway(false)
			time.Sleep(sound)
			store.write(removed("a"))
			time.Sleep(untilSecond)
			store.turnAway(true)
			time.Sleep(outage)
			store.turnAway(false)
			time.Sleep(2 * maxChangeDelay)
			assert.Equal(t, []string{"b"}, identities(*r.last.Load()), "the reader, %v before the second outage", untilSecond)
			assert.Equal(t, []string{"b"}, identities(*follower.last.Load()), "its follower, %v before the second outage", untilSecond)
		})
	}
}
