package jydiscovery

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jylease"
)

// maxFeedChanges bounds the number of Changes that a feed keeps.
const maxFeedChanges = 256

// feed keeps the latest changes for other instances that watch this one in place of the store.
type feed struct {
	mu sync.Mutex
	// baseRevision is the revision after which all changes are kept; 0 before the first full read.
	baseRevision Revision
	last         Position
	changes      []Changes
	// confirmedAt is when the store was last known to hold nothing newer than last.
	confirmedAt time.Time
	// provenAt is the proof for last: everything that the store had acknowledged by then is contained. It is nil if there is none.
	provenAt *jylease.Instant
	// storeUnavailable is set while the store cannot be read; other instances must then call the store themselves.
	storeUnavailable bool
	updated          chan struct{} // closed and replaced at each confirmation or failure of the store
}

func newFeed() *feed { return &feed{updated: make(chan struct{})} }

// confirmation says when an answer was known to hold all changes of the store.
type confirmation struct {
	at time.Time
	// provenAt is the proof of the answer, nil if there is none.
	provenAt *jylease.Instant
	// fromAlternative is set if the answer comes from an instance that is followed because this one cannot read the store.
	fromAlternative bool
}

// restart drops all changes; the feed then starts at the given revision.
func (f *feed) restart(at Position, by confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.Era != f.last.Era {
		// A restored store may lack what the proof covers.
		f.provenAt = nil
	}
	f.baseRevision, f.last, f.changes = at.Revision, at, nil
	f.confirm(by)
}

// add appends changes, which may be empty, and records the confirmation that the store held nothing newer than their revision.
func (f *feed) add(c Changes, by confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.isEmpty() {
		f.changes = append(f.changes, c)
		if len(f.changes) > maxFeedChanges {
			f.baseRevision = f.changes[0].Revision
			f.changes = f.changes[1:]
		}
	}
	f.last = c.Position
	f.confirm(by)
}

// confirm records a confirmation and ends all waits; the caller holds mu. An instance that follows an alternative serves no others, so
// that no two instances follow each other.
func (f *feed) confirm(by confirmation) {
	if by.at.After(f.confirmedAt) {
		f.confirmedAt = by.at
	}
	if by.provenAt != nil && (f.provenAt == nil || *by.provenAt > *f.provenAt) {
		f.provenAt = by.provenAt
	}
	f.storeUnavailable = by.fromAlternative
	f.wake()
}

// markStoreUnavailable records that the store cannot be read and ends all waits.
func (f *feed) markStoreUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeUnavailable = true
	f.wake()
}

// wake ends all waits; the caller holds mu.
func (f *feed) wake() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// lastConfirmation returns when the store was last known to hold nothing newer, the zero time before the first answer.
func (f *feed) lastConfirmation() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// since returns the changes after a position, and when they were complete with the proof of it. It returns at once if there are
// changes, else at the next confirmation or after the wait. Its error is of kind Compacted if the changes are not kept any
// more, Restored if the position is of another era, Unreachable if the store cannot be read.
func (f *feed) since(ctx context.Context, after Position, wait time.Duration) (Changes, confirmation, error) {
	f.await(ctx, after, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkPosition(after); err != nil {
		return Changes{}, confirmation{}, err
	}
	out := Changes{Position: Position{Era: f.last.Era, Revision: max(after.Revision, f.last.Revision)}}
	for _, c := range f.changes {
		if c.Revision > after.Revision {
			out.merge(c)
		}
	}
	return out, confirmation{at: f.confirmedAt, provenAt: f.provenAt}, nil
}

// checkPosition returns an error if the changes after a position cannot be told; the caller holds mu.
func (f *feed) checkPosition(after Position) error {
	const op = "follow instance"
	switch {
	case f.storeUnavailable:
		return jyfault.New(op, Unreachable, "the store cannot be read there")
	case f.baseRevision == 0:
		return jyfault.New(op, Compacted, "the store was not read yet")
	case after.Era != f.last.Era:
		return jyfault.New(op, Restored, "era %d was read, not %d", f.last.Era, after.Era)
	case after.Revision < f.baseRevision:
		return jyfault.New(op, Compacted, "changes since %d are not remembered", after.Revision)
	}
	return nil
}

// await waits for the next confirmation or failure of the store, at most for wait and until ctx ends. It returns at once if since
// needs no wait: a later revision or another era was read, there was no full read yet, or the store cannot be read.
func (f *feed) await(ctx context.Context, after Position, wait time.Duration) {
	f.mu.Lock()
	isBehind := f.last.Era != after.Era || f.last.Revision > after.Revision
	updated, hasAnswer := f.updated, isBehind || f.baseRevision == 0 || f.storeUnavailable
	f.mu.Unlock()
	if hasAnswer {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	case <-updated:
	}
}
