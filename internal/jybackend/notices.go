package jybackend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// notice holds what one backend server stated about itself in answers.
type notice struct {
	drainingUntil atomic.Int64 // until when it counts as draining, in nanoseconds since the epoch
	pausedUntil   atomic.Int64 // until when it wants no requests, in nanoseconds since the epoch
	limit         limit        // what it stated in answers to any instance
}

// isDraining reports whether the server counts as draining.
func (n *notice) isDraining(now time.Time) bool { return now.UnixNano() < n.drainingUntil.Load() }

// pauseRemaining returns for how much longer the server wants no requests, or 0.
func (n *notice) pauseRemaining(now time.Time) time.Duration {
	return max(0, time.Duration(n.pausedUntil.Load()-now.UnixNano()))
}

// notices holds the notice of each server by its name, so that it is kept when the server's entry changes, or is removed and
// added again.
type notices struct {
	mu     sync.Mutex
	byName map[jynote.ServerName]*notice
}

func newNotices() *notices { return &notices{byName: map[jynote.ServerName]*notice{}} }

// forServer returns the notice of the server with that name, and adds it if there is none.
func (n *notices) forServer(name jynote.ServerName) *notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.byName[name]
	if v == nil {
		v = &notice{}
		n.byName[name] = v
	}
	return v
}

// removeExpired removes the expired notices of servers that are not current.
func (n *notices) removeExpired(now time.Time, current map[jynote.ServerName]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, v := range n.byName {
		if !current[name] && !v.isDraining(now) && v.pauseRemaining(now) == 0 && v.limit.isExpired(now) {
			delete(n.byName, name)
		}
	}
}
