package jybackend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// ShareFunc returns this instance's share of a limit that a backend server states. It may be called concurrently.
type ShareFunc func(s jynote.BackendServer, limit jyquota.Rate) jyquota.Share

const (
	// maxLimitLogLines is the maximum number of log lines per second about each kind of statement about limits.
	maxLimitLogLines = 10
	// shareInterval is how long a share is used until it is computed again, for the case that the membership has changed. It is not
	// shorter than maxTrialLead, by which the time of some calls is ahead.
	shareInterval = maxTrialLead
	// endedLimitTime is how long after the end of a limit further answers renew the statement and peers are told of it. An
	// instance that is cut off for longer may know a limit that has ended.
	endedLimitTime = 10 * time.Minute
)

// limit holds what one backend server last stated about its limit, and this instance's use of it.
type limit struct {
	isLimited atomic.Bool // of statement
	// isRecent says that the server states a limit, or may have done so within endedLimitTime.
	isRecent  atomic.Bool
	mu        sync.Mutex // guards the fields below
	statement jyquota.Statement
	changedAt time.Time // when the limit last changed
	bucket    jyquota.Bucket
	share     jyquota.Share
	sharedAt  time.Time // when share was computed, or the zero time
}

// current returns the last statement.
func (l *limit) current() jyquota.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statement
}

// apply stores what an answer to this instance stated if it is later than the last statement, and reports whether the limit changed.
func (l *limit) apply(now time.Time, s jyquota.Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.Supersedes(l.statement) {
		return false
	}
	s.IsOwn, s.Version = true, l.statement.Version
	if !s.IsSameLimit(l.statement) {
		s.Version++
	}
	return l.set(now, s)
}

// applyTold stores a statement that another instance passed on if it is newer than the last one, and reports whether the limit
// changed. If it returns true as outdated, that instance should be told the last statement.
func (l *limit) applyTold(now time.Time, s jyquota.Statement) (changed, outdated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	merged, order := l.statement.Merge(s)
	return l.set(now, merged), order == jyquota.Older
}

// set stores the statement and reports whether the limit changed. The caller holds mu.
func (l *limit) set(now time.Time, s jyquota.Statement) (changed bool) {
	changed = !s.IsSameLimit(l.statement)
	if changed {
		l.sharedAt, l.changedAt = time.Time{}, now
	}
	if s.IsLimited && !l.statement.IsLimited {
		l.bucket = jyquota.Bucket{}
	}
	l.statement = s
	l.isLimited.Store(s.IsLimited)
	l.isRecent.Store(s.IsLimited || now.Sub(l.changedAt) < endedLimitTime)
	return changed
}

// isExpired reports whether the statement of a server that is no longer registered need not be kept.
func (l *limit) isExpired(now time.Time) bool {
	return !l.isLimited.Load() || now.Sub(l.current().At) > jydetector.DefaultDrainingTimeout
}

// updateShare computes the share if it is outdated. The caller must hold mu.
func (l *limit) updateShare(now time.Time, s *Server) {
	if l.sharedAt.IsZero() || now.Sub(l.sharedAt).Abs() > shareInterval {
		l.share, l.sharedAt = s.shareOf(s.Info, l.statement.Limit), now
	}
}

// Limit returns the requests per second that the server takes from all instances together, or false if it states no limit.
func (s *Server) Limit() (jyquota.Rate, bool) {
	statement := s.LimitStatement()
	return statement.Limit, statement.IsLimited
}

// LimitShare returns the requests per second that this instance may send to the server under the limit that it states.
func (s *Server) LimitShare(now time.Time) jyquota.Rate {
	l := &s.notice.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateShare(now, s)
	return l.share.PerSecond
}

// LimitStatement returns what the server last stated about its limit, as far as this instance knows.
func (s *Server) LimitStatement() jyquota.Statement { return s.notice.limit.current() }

// HadLimitRecently reports whether the server states a limit, or stopped doing so within endedLimitTime.
func (s *Server) HadLimitRecently(now time.Time) bool {
	l := &s.notice.limit
	if !l.isRecent.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statement.IsLimited || now.Sub(l.changedAt) < endedLimitTime
}

// hasQuota reports whether this instance may send the server a request under its limit.
func (s *Server) hasQuota(now time.Time) bool { return s.askBucket(now, (*jyquota.Bucket).Has) }

// TakeQuota counts a request against this instance's share of the server's limit, and reports whether it may be sent.
func (s *Server) TakeQuota(now time.Time) bool { return s.askBucket(now, (*jyquota.Bucket).Take) }

// askBucket returns what ask returns for the bucket of this instance's share, or true if the server states no limit.
func (s *Server) askBucket(now time.Time, ask func(*jyquota.Bucket, time.Time, jyquota.Share) bool) bool {
	l := &s.notice.limit
	if !l.isLimited.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateShare(now, s)
	return ask(&l.bucket, now, l.share)
}

// RecordLimit records that an answer, which arrived at now, stated a limit.
func (v *Service) RecordLimit(s *Server, now time.Time, rate jyquota.Rate) {
	v.recordStatement(s, jyquota.Statement{IsLimited: true, Limit: rate, At: now})
}

// RecordNoLimit records that the answer to a request that was sent at sent stated no limit.
func (v *Service) RecordNoLimit(s *Server, sent time.Time) {
	if s.notice.limit.isRecent.Load() {
		v.recordStatement(s, jyquota.Statement{At: sent})
	}
}

func (v *Service) recordStatement(s *Server, statement jyquota.Statement) {
	if !s.notice.limit.apply(time.Now(), statement) {
		return
	}
	s.logLimit(statement, localSource)
	if v.observer != nil {
		v.observer.LimitChanged(s)
	}
}

// applyToldLimit applies a statement of the server that the named instance passed on. It reports whether that instance should be told
// the last statement instead.
func (s *Server) applyToldLimit(statement jyquota.Statement, from string) (outdated bool) {
	changed, outdated := s.notice.limit.applyTold(time.Now(), statement)
	if changed {
		s.logLimit(statement, from)
	}
	return outdated
}

// logLimit logs a changed limit, where source is localSource or the name of the instance that reported it.
func (s *Server) logLimit(statement jyquota.Statement, source string) {
	if statement.IsLimited {
		jylog.ServerLimitStated.LogAtMost(maxLimitLogLines, s.Info.Service, s.Info.Name, float64(statement.Limit), source)
	} else {
		jylog.ServerLimitEnded.LogAtMost(maxLimitLogLines, s.Info.Service, s.Info.Name, source)
	}
}

// LimitedRate returns the requests per second that the service's servers take from all instances together, if each of them that is
// neither draining nor paused states a limit. Otherwise it returns 0.
func (v *Service) LimitedRate(now time.Time) jyquota.Rate {
	sum := jyquota.Rate(0)
	for _, s := range v.Servers {
		if s.IsDraining(now) || s.PauseRemaining(now) > 0 {
			continue
		}
		rate, isLimited := s.Limit()
		if !isLimited {
			return 0
		}
		sum += rate.Applied()
	}
	return sum
}

// RetryAfter returns after how long a rejected caller should come back, if each server that is not draining is paused or states a
// limit. Otherwise it returns 0. Callers that are rejected for the limits are spread over the time in which they can be served.
func (v *Service) RetryAfter(now time.Time) time.Duration {
	if rate := v.LimitedRate(now); rate > 0 {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.returns.Next(now, rate/jyquota.Rate(max(1, v.countInstances())))
	}
	return v.timeUntilPauseEnds(now)
}

// timeUntilPauseEnds returns the time until the first pause ends if each server that is not draining is paused. Otherwise it
// returns 0.
func (v *Service) timeUntilPauseEnds(now time.Time) time.Duration {
	first := time.Duration(0)
	for _, s := range v.Servers {
		if s.IsDraining(now) {
			continue
		}
		d := s.PauseRemaining(now)
		if d == 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first
}
