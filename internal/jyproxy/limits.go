package jyproxy

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jylimit"
)

const limitShards = 16

// CallerLimiter is a jylimit.Limiter for concurrent use.
type CallerLimiter struct {
	shards [limitShards]limitShard
}

type limitShard struct {
	mu      sync.Mutex
	limiter *jylimit.Limiter
}

// NewCallerLimiter returns limits that know no caller.
func NewCallerLimiter(c jylimit.Config) *CallerLimiter {
	c.MaxCallers = max(1, c.MaxCallers/limitShards)
	l := &CallerLimiter{}
	for i := range l.shards {
		l.shards[i].limiter = jylimit.New(c)
	}
	return l
}

func (l *CallerLimiter) shard(caller string) *limitShard {
	return &l.shards[(caller[0]*7+caller[1])%limitShards]
}

// Begin admits a request of the caller, or returns after what time one may be admitted.
func (l *CallerLimiter) Begin(now time.Time, caller string) (bool, time.Duration) {
	s := l.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Begin(now, caller)
}

// End ends a request that Begin admitted.
func (l *CallerLimiter) End(caller string) {
	s := l.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.End(caller)
}
