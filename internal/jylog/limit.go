package jylog

import (
	"sync"
	"time"
)

// limiter bounds the lines of each event in a second, and tells how many were left out.
type limiter struct {
	mu    sync.Mutex
	event map[int]*window
}

type window struct {
	second  int64
	lines   int
	leftOut int
}

var limits = &limiter{event: map[int]*window{}}

// allow reports whether one more line of the event may be written now, and how many were left out in an earlier second.
func (l *limiter) allow(now time.Time, number, perSecond int) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.event[number]
	if w == nil {
		w = &window{}
		l.event[number] = w
	}
	if second := now.Unix(); second != w.second {
		leftOut = w.leftOut
		*w = window{second: second}
	}
	if w.lines >= perSecond {
		w.leftOut++
		return false, leftOut
	}
	w.lines++
	return true, leftOut
}

// LogAtMost writes the event unless it was written so many times in this second; how many were left out is told later.
func (e Event) LogAtMost(perSecond int, values ...any) {
	ok, leftOut := limits.allow(time.Now(), e.Number, perSecond)
	if leftOut > 0 {
		LinesSuppressed.Log(e.Number, leftOut)
	}
	if ok {
		e.logDepth(1, values)
	}
}
