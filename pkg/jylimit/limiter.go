package jylimit

import (
	"container/list"
	"time"
)

// Config sets up a Limiter.
type Config struct {
	Rate        float64 // requests per second and caller, above 0
	Burst       int     // size of the token bucket of a caller, in requests; at least 1
	Concurrency int     // requests of a caller in progress at the same time
	MaxCallers  int     // callers that are tracked; the one idle for longest is evicted first
}

// Limiter holds a token bucket and a count of requests in progress for each caller. It is not safe for concurrent use.
type Limiter struct {
	config    Config
	callers   map[string]*list.Element
	byRecency *list.List // of *callerState, most recently used first
}

type callerState struct {
	caller     string
	tokens     float64
	refilledAt time.Time
	inProgress int
}

// New returns a limiter without any callers.
func New(c Config) *Limiter {
	return &Limiter{config: c, callers: map[string]*list.Element{}, byRecency: list.New()}
}

// Begin admits a request of the caller, or returns how long to wait until one may be admitted. That time is 1 s for a caller with
// Concurrency requests in progress.
func (l *Limiter) Begin(now time.Time, caller string) (admitted bool, wait time.Duration) {
	s := l.stateOf(now, caller)
	if s.inProgress >= l.config.Concurrency {
		return false, time.Second
	}
	s.tokens = min(float64(l.config.Burst), s.tokens+now.Sub(s.refilledAt).Seconds()*l.config.Rate)
	s.refilledAt = now
	if s.tokens < 1 {
		missing := (1 - s.tokens) / l.config.Rate
		return false, time.Duration(missing * float64(time.Second))
	}
	s.tokens--
	s.inProgress++
	return true, 0
}

// End records the end of a request that Begin admitted.
func (l *Limiter) End(caller string) {
	if e := l.callers[caller]; e != nil {
		e.Value.(*callerState).inProgress--
	}
}

// stateOf returns the state of the caller, and adds it if there is none.
func (l *Limiter) stateOf(now time.Time, caller string) *callerState {
	if e := l.callers[caller]; e != nil {
		l.byRecency.MoveToFront(e)
		return e.Value.(*callerState)
	}
	l.evictIdle()
	s := &callerState{caller: caller, tokens: float64(l.config.Burst), refilledAt: now}
	l.callers[caller] = l.byRecency.PushFront(s)
	return s
}

// evictIdle evicts idle callers until one more may be tracked. Callers with requests in progress are never evicted, even if
// there are more than MaxCallers of them.
func (l *Limiter) evictIdle() {
	for e := l.byRecency.Back(); e != nil && len(l.callers) >= l.config.MaxCallers; {
		previous := e.Prev()
		if s := e.Value.(*callerState); s.inProgress == 0 {
			delete(l.callers, s.caller)
			l.byRecency.Remove(e)
		}
		e = previous
	}
}
