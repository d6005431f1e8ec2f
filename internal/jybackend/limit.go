package jybackend

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

// maxLimitLogLines is the maximum number of log lines per second about each kind of statement about limits.
const maxLimitLogLines = 10

// limit holds what one backend server last stated about its limit.
type limit struct {
	mu        sync.Mutex
	statement jyquota.Statement
}

// current returns the last statement.
func (l *limit) current() jyquota.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statement
}

// apply stores the statement if it is later than the last one, and reports whether the limit changed.
func (l *limit) apply(s jyquota.Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.Supersedes(l.statement) {
		return false
	}
	changed = !s.IsSameLimit(l.statement)
	l.statement = s
	return changed
}

// Limit returns the requests per second that the server takes from all instances together, or false if it states no limit.
func (s *Server) Limit() (jyquota.Rate, bool) {
	statement := s.notice.limit.current()
	return statement.Limit, statement.IsLimited
}

// RecordLimit records that an answer, which arrived at now, stated a limit.
func (s *Server) RecordLimit(now time.Time, rate jyquota.Rate) {
	s.applyLimit(jyquota.Statement{IsLimited: true, Limit: rate, At: now}, localSource)
}

// RecordNoLimit records that the answer to a request that was sent at sent stated no limit.
func (s *Server) RecordNoLimit(sent time.Time) {
	s.applyLimit(jyquota.Statement{At: sent}, localSource)
}

// applyLimit applies a statement of the server, where source is localSource or the name of the instance that reported it.
func (s *Server) applyLimit(statement jyquota.Statement, source string) {
	if !s.notice.limit.apply(statement) {
		return
	}
	if statement.IsLimited {
		jylog.ServerLimitStated.LogAtMost(maxLimitLogLines, s.Info.Service, s.Info.Name, float64(statement.Limit), source)
		return
	}
	jylog.ServerLimitEnded.LogAtMost(maxLimitLogLines, s.Info.Service, s.Info.Name, source)
}
