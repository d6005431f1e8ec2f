package jylog

import (
	"sync"
	"time"
)

// limiter bounds the lines per event and second, and counts the suppressed ones.
type limiter struct {
	mu      sync.Mutex
	windows map[int]*window // by event number
}

// window counts the lines of one event in one second of the clock.
type window struct {
	second     int64 // since the Unix epoch
	lines      int   // written
	suppressed int
}

var eventLimiter = &limiter{windows: map[int]*window{}}

// allow reports whether one more line of the event may be written now. At the event's first call in a second, suppressed is the
// number of its lines that were suppressed in the previous second with a call. At other calls it is 0.
func (l *limiter) allow(now time.Time, number, perSecond int) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[number]
	if w == nil {
		w = &window{}
		l.windows[number] = w
	}
	if second := now.Unix(); second != w.second {
		suppressed = w.suppressed
		*w = window{second: second}
	}
	if w.lines >= perSecond {
		w.suppressed++
		return false, suppressed
	}
	w.lines++
	return true, suppressed
}

// LogAtMost writes the event unless it was already written perSecond times in this second. The first call in a later second
// logs the number of suppressed lines as LinesSuppressed.
func (e Event) LogAtMost(perSecond int, values ...any) {
	ok, suppressed := eventLimiter.allow(time.Now(), e.Number, perSecond)
	if suppressed > 0 {
		LinesSuppressed.Log(e.Number, suppressed)
	}
	if ok {
		e.logDepth(1, values)
	}
}
