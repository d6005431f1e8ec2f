package jydiscovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// feedChanges bounds the changes that a feed remembers.
const feedChanges = 256

// feed remembers the latest changes, for other instances that follow this one in place of the store.
type feed struct {
	mu sync.Mutex
	// base is the revision after which all changes are remembered; 0 where nothing is known.
	base    Revision
	last    Revision
	changes []Changes
	// proven is when the store was last known to hold nothing newer.
	proven time.Time
	// away says that the store cannot be read: those that follow must see for themselves.
	away bool
	news chan struct{} // closed with each proof
}

func newFeed() *feed { return &feed{news: make(chan struct{})} }

// restart forgets all, as of a revision.
func (f *feed) restart(at Revision, proven time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.base, f.last, f.changes = at, at, nil
	f.prove(proven)
}

// add takes changes up to their revision, or the proof that there are none.
func (f *feed) add(c Changes, proven time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.isEmpty() {
		f.changes = append(f.changes, c)
		if len(f.changes) > feedChanges {
			f.base = f.changes[0].Revision
			f.changes = f.changes[1:]
		}
	}
	f.last = c.Revision
	f.prove(proven)
}

// prove wakes those that wait; the caller holds mu.
func (f *feed) prove(proven time.Time) {
	if proven.After(f.proven) {
		f.proven = proven
	}
	f.away = false
	f.wake()
}

// suspend tells those that wait that the store cannot be read.
func (f *feed) suspend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = true
	f.wake()
}

// wake ends all waits; the caller holds mu.
func (f *feed) wake() {
	close(f.news)
	f.news = make(chan struct{})
}

// provenAt returns when the store was last known to hold nothing newer, the zero time if it never was.
func (f *feed) provenAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proven
}

// since returns the changes after a revision, and when they were proven to be all: at once if there are some, else with the
// next proof or after the wait. Its error is of kind Compacted where they are not remembered, Unreachable where the store
// cannot be read.
func (f *feed) since(ctx context.Context, after Revision, wait time.Duration) (Changes, time.Time, error) {
	f.await(ctx, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return Changes{}, time.Time{}, jyfault.New("follow instance", Unreachable, "the store cannot be read there")
	}
	if f.base == 0 || after < f.base {
		return Changes{}, time.Time{}, jyfault.New("follow instance", Compacted, "changes since %d are not remembered", after)
	}
	out := Changes{Revision: max(after, f.last)}
	for _, c := range f.changes {
		if c.Revision > after {
			out.add(c)
		}
	}
	return out, f.proven, nil
}

// await returns with the next proof or after the wait; at once where that would tell nothing.
func (f *feed) await(ctx context.Context, after Revision, wait time.Duration) {
	f.mu.Lock()
	news, tellsNothing := f.news, f.last > after || f.base == 0 || f.away
	f.mu.Unlock()
	if tellsNothing {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	case <-news:
	}
}

func (c Changes) isEmpty() bool {
	return c.Configuration == nil && len(c.Registered)+len(c.Removed) == 0
}

// add takes later changes; of a server, or of the configuration, only the last remains.
func (c *Changes) add(later Changes) {
	if later.Configuration != nil {
		c.Configuration = later.Configuration
	}
	for _, r := range later.Registered {
		c.forget(r.ID)
		c.Registered = append(c.Registered, r)
	}
	for _, id := range later.Removed {
		c.forget(id)
		c.Removed = append(c.Removed, id)
	}
}

// forget drops what is known of a server.
func (c *Changes) forget(id jyregistry.ID) {
	c.Registered = slices.DeleteFunc(c.Registered, func(r jyregistry.Registration) bool { return r.ID == id })
	c.Removed = slices.DeleteFunc(c.Removed, func(x jyregistry.ID) bool { return x == id })
}
