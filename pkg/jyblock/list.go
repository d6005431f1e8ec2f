package jyblock

import (
	"slices"
	"time"
)

// Fingerprint is a digest of what a request asks for.
type Fingerprint [32]byte

// ServerName identifies a backend server.
type ServerName string

// Limits of a List.
const (
	// serversToBlock is the number of backend servers that an idempotent request may end before it is blocked.
	serversToBlock = 2
	// MaxSuspects bounds the fingerprints under suspicion; the oldest makes room.
	MaxSuspects = 4096
	// maxRecent bounds the fingerprints of each half of the answered requests.
	maxRecent = 4096
)

// Config sets up a List.
type Config struct {
	// MultiCrashTTL is how long a request that ended several backend servers stays blocked.
	MultiCrashTTL time.Duration
	// SingleCrashTTL is how long one that ended a single backend server stays under suspicion or blocked.
	SingleCrashTTL time.Duration
	// AnsweredTTL is how long an answer clears a request: what was answered a moment ago does not end servers.
	AnsweredTTL time.Duration
}

// List holds the requests under suspicion; it is not safe for concurrent use.
type List struct {
	config   Config
	suspects map[Fingerprint]*suspect
	order    []Fingerprint
	// recent and older hold the requests answered in the present and the last span of RecentTime.
	recent  map[Fingerprint]bool
	older   map[Fingerprint]bool
	rotated time.Time
}

type suspect struct {
	servers []ServerName
	blocked bool
	until   time.Time
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c, suspects: map[Fingerprint]*suspect{}, recent: map[Fingerprint]bool{}, older: map[Fingerprint]bool{}}
}

// Len returns the number of requests under suspicion, so that callers can spare a fingerprint where there are none.
func (l *List) Len() int { return len(l.suspects) }

// IsBlocked reports whether a request must not run.
func (l *List) IsBlocked(now time.Time, f Fingerprint) bool {
	s := l.suspects[f]
	return s != nil && s.blocked && now.Before(s.until)
}

// RecordCrash records that a backend server ended while it ran the request; a non-idempotent one is blocked at once.
// It reports whether the request is under suspicion, which one that was answered a moment ago is not.
func (l *List) RecordCrash(now time.Time, f Fingerprint, server ServerName, idempotent bool) (suspected bool) {
	l.rotate(now)
	if l.recent[f] || l.older[f] {
		return false
	}
	s := l.suspect(now, f)
	if !slices.Contains(s.servers, server) {
		s.servers = append(s.servers, server)
	}
	s.blocked = s.blocked || !idempotent || len(s.servers) >= serversToBlock
	s.until = now.Add(l.memory(s))
	return true
}

func (l *List) memory(s *suspect) time.Duration {
	if len(s.servers) >= serversToBlock {
		return l.config.MultiCrashTTL
	}
	return l.config.SingleCrashTTL
}

// Merge takes what a peer holds of a request.
func (l *List) Merge(now time.Time, f Fingerprint, servers []ServerName, blocked bool) {
	s := l.suspect(now, f)
	for _, v := range servers {
		if !slices.Contains(s.servers, v) {
			s.servers = append(s.servers, v)
		}
	}
	s.blocked = s.blocked || blocked || len(s.servers) >= serversToBlock
	s.until = now.Add(l.memory(s))
}

// RecordAnswer clears a request that a backend server answered: what ran beside it was to blame.
func (l *List) RecordAnswer(now time.Time, f Fingerprint) {
	l.rotate(now)
	if len(l.recent) < maxRecent {
		l.recent[f] = true
	}
	if s := l.suspects[f]; s != nil && !s.blocked {
		l.remove(f)
	}
}

func (l *List) rotate(now time.Time) {
	switch passed := now.Sub(l.rotated); {
	case passed < l.config.AnsweredTTL:
		return
	case passed < 2*l.config.AnsweredTTL:
		l.recent, l.older = l.older, l.recent
	default:
		clear(l.older)
	}
	clear(l.recent)
	l.rotated = now
}

// CrashedServers returns the backend servers that a request ended.
func (l *List) CrashedServers(f Fingerprint) []ServerName {
	if s := l.suspects[f]; s != nil {
		return slices.Clone(s.servers)
	}
	return nil
}

func (l *List) suspect(now time.Time, f Fingerprint) *suspect {
	l.expire(now)
	s := l.suspects[f]
	if s == nil {
		s = &suspect{until: now.Add(l.config.SingleCrashTTL)}
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
		if !now.Before(l.suspects[f].until) {
			l.remove(f)
		}
	}
}

func (l *List) remove(f Fingerprint) {
	delete(l.suspects, f)
	l.order = slices.DeleteFunc(l.order, func(v Fingerprint) bool { return v == f })
}
