package jyproxy

import (
	"cmp"
	"net/http"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Maximum numbers of log lines per second for each event.
const (
	servedLinesPerSecond = 2 // only a sample of the served requests
	eventLinesPerSecond  = 50
)

// logID returns the id by which the request appears in the log, or "-" if it has none.
func (r *request) logID() string {
	return cmp.Or(r.header.Get(r.dialect.RequestIDHeader), r.header.Get(HeaderIdempotencyKey), "-")
}

func (r *request) elapsedMilliseconds() int64 { return time.Since(r.arrived).Milliseconds() }

func serverName(p jybackend.Placement) jynote.ServerName {
	if p.Server == nil {
		return ""
	}
	return p.Server.Info.Name
}

// logOutcome logs the outcome of the request and the placement of its last attempt.
func (r *request) logOutcome(o jyoutcome.Outcome, reason jyoutcome.Reason, status int) {
	route, service := r.match.Route.Name, r.match.Service.Name
	p := r.lastPlacement
	switch {
	case o == jyoutcome.NotRun:
		jylog.RequestRefused.LogAtMost(eventLinesPerSecond, r.logID(), route, service, reason, status, r.attempts, r.elapsedMilliseconds(),
			serverName(p), jybackend.RoundToThousandths(p.FailChance), p.Load, r.state.Number, r.state.Revision, r.accountName())
	case o == jyoutcome.Complete && status < http.StatusInternalServerError:
		jylog.RequestServed.LogAtMost(servedLinesPerSecond, r.logID(), route, service, serverName(p), status, r.attempts, r.elapsedMilliseconds(),
			jybackend.RoundToThousandths(p.FailChance), p.Load, r.state.Number, r.state.Revision, r.accountName())
	default:
		jylog.RequestFailed.LogAtMost(eventLinesPerSecond, r.logID(), route, service, reason, status, r.attempts,
			r.elapsedMilliseconds(), serverName(p), jybackend.RoundToThousandths(p.FailChance), p.Load, r.state.Number, r.state.Revision, r.accountName())
	}
}

// logRetry logs that the request is sent to another server.
func (r *request) logRetry(reason jyoutcome.Reason) {
	p := r.lastPlacement
	jylog.RequestRetried.LogAtMost(
		eventLinesPerSecond, r.logID(), r.match.Service.Name, serverName(p), reason,
		r.attempts, r.elapsedMilliseconds(), jybackend.RoundToThousandths(p.FailChance), p.Load,
	)
}

// logOverdue logs that the answer to an attempt is overdue.
func (r *request) logOverdue(p jybackend.Placement, elapsed time.Duration) {
	jylog.AnswerOverdue.LogAtMost(eventLinesPerSecond, r.logID(), r.match.Service.Name, serverName(p), elapsed.Milliseconds(), p.Load)
}
