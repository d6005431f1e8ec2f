package jyproxy

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jylimit"
)

const limiterShards = 16

// CallerLimiter is a jylimit.Limiter that is safe for concurrent use. It identifies a caller by a digest of at least two
// characters.
type CallerLimiter struct {
	shards [limiterShards]limiterShard
}

type limiterShard struct {
	mu      sync.Mutex
	limiter *jylimit.Limiter
}

// NewCallerLimiter returns a limiter without any callers. MaxCallers is split evenly among its shards.
func NewCallerLimiter(c jylimit.Config) *CallerLimiter {
	c.MaxCallers = max(1, c.MaxCallers/limiterShards)
	l := &CallerLimiter{}
	for i := range l.shards {
		l.shards[i].limiter = jylimit.New(c)
	}
	return l
}

// shard returns the shard of a caller, by the first two digits of the caller's digest.
func (l *CallerLimiter) shard(caller string) *limiterShard {
	return &l.shards[(caller[0]*7+caller[1])%limiterShards]
}

// Begin admits a request of the caller and returns true, or returns false and how long to wait until one may be admitted.
func (l *CallerLimiter) Begin(now time.Time, caller string) (bool, time.Duration) {
	s := l.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Begin(now, caller)
}

// End records the end of a request that Begin admitted.
func (l *CallerLimiter) End(caller string) {
	s := l.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.End(caller)
}
