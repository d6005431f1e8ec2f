package jylimit

import (
	"container/list"
	"time"
)

// Config sets up a Limiter.
type Config struct {
	Rate        float64 // requests a second
	Burst       int
	Concurrency int
	MaxCallers  int // callers remembered; the longest idle is forgotten first
}

// Limiter holds a token bucket and a count of requests in progress for each caller; it is not safe for concurrent use.
type Limiter struct {
	config  Config
	callers map[string]*list.Element
	recent  *list.List // of *account, most recently used first
}

type account struct {
	caller     string
	tokens     float64
	refilled   time.Time
	inProgress int
}

// New returns a limiter that knows no caller.
func New(c Config) *Limiter {
	return &Limiter{config: c, callers: map[string]*list.Element{}, recent: list.New()}
}

// Begin admits a request of the caller, or returns after what time one may be admitted.
func (l *Limiter) Begin(now time.Time, caller string) (admitted bool, wait time.Duration) {
	a := l.account(now, caller)
	if a.inProgress >= l.config.Concurrency {
		return false, time.Second
	}
	a.tokens = min(float64(l.config.Burst), a.tokens+now.Sub(a.refilled).Seconds()*l.config.Rate)
	a.refilled = now
	if a.tokens < 1 {
		missing := (1 - a.tokens) / l.config.Rate
		return false, time.Duration(missing * float64(time.Second))
	}
	a.tokens--
	a.inProgress++
	return true, 0
}

// End ends a request that Begin admitted.
func (l *Limiter) End(caller string) {
	if e := l.callers[caller]; e != nil {
		e.Value.(*account).inProgress--
	}
}

func (l *Limiter) account(now time.Time, caller string) *account {
	if e := l.callers[caller]; e != nil {
		l.recent.MoveToFront(e)
		return e.Value.(*account)
	}
	l.forgetIdle()
	a := &account{caller: caller, tokens: float64(l.config.Burst), refilled: now}
	l.callers[caller] = l.recent.PushFront(a)
	return a
}

// forgetIdle makes room for one caller; callers with requests in progress are never forgotten.
func (l *Limiter) forgetIdle() {
	for e := l.recent.Back(); e != nil && len(l.callers) >= l.config.MaxCallers; {
		previous := e.Prev()
		if a := e.Value.(*account); a.inProgress == 0 {
			delete(l.callers, a.caller)
			l.recent.Remove(e)
		}
		e = previous
	}
}
