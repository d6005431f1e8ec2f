package jyproxy

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyreturn"
)

// pace is a jyreturn.Pace for concurrent use.
type pace struct {
	mu   sync.Mutex
	pace jyreturn.Pace
}

// recordEnd records that a request ended now.
func (p *pace) recordEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.RecordEnd(time.Now())
}

// after returns after how long a caller that is refused at now should come back.
func (p *pace) after(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pace.After(now)
}
