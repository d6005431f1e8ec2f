package jysignal

import (
	"sync"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// pendingUpdate counts the requests that ended at a server since the last signal about it.
type pendingUpdate struct {
	outcomes jybelief.Counts
	unserved uint32 // requests that ended without being served; each counts at the last server that it was sent to
	// limitChanged says that answers changed what is known about the server's limit.
	limitChanged bool
}

// pendingUpdates collects the updates that were not sent yet. Its size is bounded, since it has one entry per server.
type pendingUpdates struct {
	mu      sync.Mutex
	updates map[*jybackend.Server]pendingUpdate
	ready   chan struct{} // notified of each update
	// urgent is also notified if the update holds a failure or a changed limit.
	urgent chan struct{}
}

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{updates: map[*jybackend.Server]pendingUpdate{}, ready: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
}

// add adds outcomes of requests to a server. Empty counts only cause a signal with the server's load.
func (p *pendingUpdates) add(s *jybackend.Server, c jybelief.Counts) {
	p.mu.Lock()
	u := p.updates[s]
	u.outcomes = u.outcomes.Add(c)
	p.updates[s] = u
	p.mu.Unlock()
	notify(p.ready)
	if c.Failures() > 0 {
		notify(p.urgent)
	}
}

// addUnserved counts a request that ended without being served.
func (p *pendingUpdates) addUnserved(s *jybackend.Server) {
	p.mu.Lock()
	u := p.updates[s]
	u.unserved++
	p.updates[s] = u
	p.mu.Unlock()
	notify(p.ready)
}

// addLimitChange records that what is known about the server's limit changed.
func (p *pendingUpdates) addLimitChange(s *jybackend.Server) {
	p.mu.Lock()
	u := p.updates[s]
	u.limitChanged = true
	p.updates[s] = u
	p.mu.Unlock()
	notify(p.ready)
	notify(p.urgent)
}

// notify wakes the receiver of c; a notification that is already queued covers this one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// drain returns the pending updates and removes them.
func (p *pendingUpdates) drain() map[*jybackend.Server]pendingUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.updates
	p.updates = make(map[*jybackend.Server]pendingUpdate, len(out))
	return out
}
