package jydiscovery_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// historyStore is a store in memory that keeps its whole history and can be restored from a copy.
type historyStore struct {
	mu      sync.Mutex
	era     jydiscovery.Era
	changes []jydiscovery.Changes // one for each revision, from 1 on
	// turnedAway makes all calls fail.
	turnedAway bool
}

// newHistoryStore returns a store of era 1 whose revisions are the changes, from 1 on.
func newHistoryStore(changes ...jydiscovery.Changes) *historyStore {
	s := &historyStore{era: 1}
	for _, c := range changes {
		s.write(c)
	}
	return s
}

func (s *historyStore) write(c jydiscovery.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Position = jydiscovery.Position{Era: s.era, Revision: s.revision() + 1}
	s.changes = append(s.changes, c)
}

// restore drops all changes after a revision and begins the next era.
func (s *historyStore) restore(revision jydiscovery.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.changes = s.changes[:revision:revision]
}

func (s *historyStore) turnAway(turnedAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway = turnedAway
}

func (s *historyStore) revision() jydiscovery.Revision { return jydiscovery.Revision(len(s.changes)) }

// since returns all changes after a revision, in their order; the caller holds mu.
func (s *historyStore) since(after jydiscovery.Revision) jydiscovery.Changes {
	out := jydiscovery.Changes{Position: jydiscovery.Position{Era: s.era, Revision: s.revision()}}
	for _, c := range s.changes[after:] {
		if c.Configuration != nil {
			out.Configuration = c.Configuration
		}
		if c.Configuration != nil || c.ConfigurationUnreadable {
			out.ConfigurationUnreadable = c.ConfigurationUnreadable
		}
		out.Events = append(out.Events, c.Events...)
	}
	return out
}

// stored returns the registrations that the store holds; the caller holds mu.
func (s *historyStore) stored() []jyregistry.Registration {
	byID := map[jyregistry.ID]jyregistry.Registration{}
	for _, e := range s.since(0).Events {
		if e.Registration == nil {
			delete(byID, e.ID)
			continue
		}
		byID[e.ID] = *e.Registration
	}
	return slices.Collect(maps.Values(byID))
}

func (s *historyStore) Read(context.Context) (jydiscovery.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turnedAway {
		return jydiscovery.Snapshot{}, jyfault.New("read", jydiscovery.Unreachable, "turned away")
	}
	all := s.since(0)
	return jydiscovery.Snapshot{Position: all.Position, Configuration: all.Configuration, Registrations: s.stored()}, nil
}

func (s *historyStore) Watch(ctx context.Context, after jydiscovery.Revision, wait time.Duration) (jydiscovery.Changes, error) {
	const step = 10 * time.Millisecond
	for left := wait; ; left -= step {
		c, isOver, err := s.next(after, left <= 0)
		if isOver {
			return c, err
		}
		select {
		case <-ctx.Done():
			return jydiscovery.Changes{}, jyfault.New("watch", jydiscovery.Unreachable, "%w", ctx.Err())
		case <-time.After(step):
		}
	}
}

// next returns the result of a watch if it ends now.
func (s *historyStore) next(after jydiscovery.Revision, waited bool) (c jydiscovery.Changes, isOver bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.turnedAway:
		return c, true, jyfault.New("watch", jydiscovery.Unreachable, "turned away")
	case after > s.revision():
		return c, true, jyfault.New("watch", jydiscovery.Compacted, "revision %d does not exist", after)
	}
	return s.since(after), waited || after < s.revision(), nil
}
