package jyblock

import (
	"slices"
	"time"
)

// Fingerprint is a digest of a request; the same request has the same fingerprint at every instance.
type Fingerprint [32]byte

// ServerName identifies a backend server.
type ServerName string

// Limits of a List.
const (
	// blockThreshold is the number of separate crashes from which on an idempotent request is blocked.
	blockThreshold = 2
	// MaxSuspects bounds the suspected and blocked fingerprints; the oldest is evicted.
	MaxSuspects = 4096
	// maxAnswered bounds the fingerprints of the requests answered in one period.
	maxAnswered = 4096
)

// Config sets up a List. Each crash or Merge of a request starts its time on the list again.
type Config struct {
	// MultiCrashTTL is how long a request with several separate crashes stays blocked.
	MultiCrashTTL time.Duration
	// SingleCrashTTL is how long a request without separate crashes stays suspected or blocked.
	SingleCrashTTL time.Duration
	// AnsweredTTL is how long, at least, an answer clears a request: one that was answered recently does not crash servers.
	AnsweredTTL time.Duration
}

// List holds the suspected and the blocked requests. It is not safe for concurrent use.
type List struct {
	config   Config
	suspects map[Fingerprint]*suspect
	order    []Fingerprint
	// answered and prevAnswered hold the requests answered in the current and the previous period of AnsweredTTL.
	answered     map[Fingerprint]bool
	prevAnswered map[Fingerprint]bool
	rotatedAt    time.Time
}

type suspect struct {
	crashes   []Crash // at most one of each server
	blocked   bool
	expiresAt time.Time
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c, suspects: map[Fingerprint]*suspect{}, answered: map[Fingerprint]bool{}, prevAnswered: map[Fingerprint]bool{}}
}

// Len returns the number of suspected and blocked requests. If it is 0, callers need not compute fingerprints.
func (l *List) Len() int { return len(l.suspects) }

// IsBlocked reports whether a request must not run now.
func (l *List) IsBlocked(now time.Time, f Fingerprint) bool {
	s := l.suspects[f]
	return s != nil && s.blocked && now.Before(s.expiresAt)
}

// RecordCrash records that a backend server crashed while it ran the request. A non-idempotent request is blocked at once.
// RecordCrash reports whether the request is suspected now; one that was answered recently is not.
func (l *List) RecordCrash(now time.Time, f Fingerprint, c Crash, idempotent bool) (suspected bool) {
	return l.add(now, f, []Crash{c}, !idempotent)
}

// Merge adds what a peer has recorded about a request: the crashes, and whether it is blocked. It reports whether the request is
// suspected now; one that was answered recently is not.
func (l *List) Merge(now time.Time, f Fingerprint, crashes []Crash, blocked bool) (suspected bool) {
	return l.add(now, f, crashes, blocked)
}

func (l *List) add(now time.Time, f Fingerprint, crashes []Crash, blocked bool) (suspected bool) {
	l.rotateAnswered(now)
	if l.answered[f] || l.prevAnswered[f] {
		return false
	}
	s := l.suspect(now, f)
	for _, c := range crashes {
		isKnown := slices.ContainsFunc(s.crashes, func(v Crash) bool { return v.Server == c.Server })
		if !isKnown {
			s.crashes = append(s.crashes, c)
		}
	}
	s.blocked = s.blocked || blocked || separateCrashes(s.crashes) >= blockThreshold
	s.expiresAt = now.Add(l.ttl(s))
	return true
}

// ttl returns how long a request with these crashes stays on the list.
func (l *List) ttl(s *suspect) time.Duration {
	if separateCrashes(s.crashes) >= blockThreshold {
		return l.config.MultiCrashTTL
	}
	return l.config.SingleCrashTTL
}

// RecordAnswer clears a request that a backend server answered, also a blocked one: earlier crashes are attributed to other causes. It
// reports whether the request was suspected or blocked.
func (l *List) RecordAnswer(now time.Time, f Fingerprint) (cleared bool) {
	l.rotateAnswered(now)
	if len(l.answered) < maxAnswered {
		l.answered[f] = true
	}
	_, cleared = l.suspects[f]
	if cleared {
		l.remove(f)
	}
	return cleared
}

// rotateAnswered starts a new period of answered requests once the current one has lasted for AnsweredTTL.
func (l *List) rotateAnswered(now time.Time) {
	switch passed := now.Sub(l.rotatedAt); {
	case passed < l.config.AnsweredTTL:
		return
	case passed < 2*l.config.AnsweredTTL:
		l.answered, l.prevAnswered = l.prevAnswered, l.answered
	default:
		clear(l.prevAnswered)
	}
	clear(l.answered)
	l.rotatedAt = now
}

// Crashes returns the crashes of a suspected or blocked request.
func (l *List) Crashes(f Fingerprint) []Crash {
	if s := l.suspects[f]; s != nil {
		return slices.Clone(s.crashes)
	}
	return nil
}

// suspect returns the entry of a request, and adds it if there is none.
func (l *List) suspect(now time.Time, f Fingerprint) *suspect {
	l.expire(now)
	s := l.suspects[f]
	if s == nil {
		s = &suspect{expiresAt: now.Add(l.config.SingleCrashTTL)}
		l.suspects[f] = s
		l.order = append(l.order, f)
	}
	if len(l.order) > MaxSuspects {
		l.remove(l.order[0])
	}
	return s
}

func (l *List) expire(now time.Time) {
	for _, f := range slices.Clone(l.order) {
		if !now.Before(l.suspects[f].expiresAt) {
			l.remove(f)
		}
	}
}

func (l *List) remove(f Fingerprint) {
	delete(l.suspects, f)
	l.order = slices.DeleteFunc(l.order, func(v Fingerprint) bool { return v == f })
}
