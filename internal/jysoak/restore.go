package jysoak

import (
	"context"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// copyInterval is the time between two copies of the store.
const copyInterval = 200 * time.Millisecond

// storeCopy is a copy of the store with the time at which it was made.
type storeCopy struct {
	at      time.Time
	content jyhoststandin.Copy
}

// copyStore copies the store at intervals until the soak has run for the duration.
func (s *soak) copyStore(ctx context.Context, duration time.Duration) {
	for time.Since(s.started) < duration && sleepUntil(ctx, time.Now().Add(copyInterval)) {
		c := storeCopy{at: time.Now(), content: s.store.Copy()}
		s.mu.Lock()
		s.copies = append(s.copies, c)
		s.mu.Unlock()
	}
}

// restoreStore makes the store unavailable. The returned function restores it from a copy; the operators and the servers then write
// again what they wrote last.
func (s *soak) restoreStore(step Step) (undo func()) {
	c, copied := s.copyBefore(time.Now().Add(-step.CopyAge))
	if !copied {
		return func() {}
	}
	s.store.SetUnavailable(true)
	return func() {
		s.store.Restore(c.content)
		s.republish(0)
		for _, server := range s.servers {
			server.RegisterAgain(s.store)
		}
		s.store.SetUnavailable(false)
	}
}

// copyBefore returns the last copy that was made before a time, or the first one if there is none.
func (s *soak) copyBefore(t time.Time) (c storeCopy, copied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		return storeCopy{}, false
	}
	c = s.copies[0]
	for _, other := range s.copies {
		if other.at.Before(t) {
			c = other
		}
	}
	return c, true
}
