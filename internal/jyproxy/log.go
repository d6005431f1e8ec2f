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

// Bounds of the log lines a second of one instance.
const (
	servedLines  = 2 // a sample
	decidedLines = 50
)

// id returns what names the request in the log.
func (r *request) id() string {
	return cmp.Or(r.header.Get(r.dialect.RequestIDHeader), r.header.Get(HeaderIdempotencyKey), "-")
}

func (r *request) milliseconds() int64 { return time.Since(r.arrived).Milliseconds() }

func nameOf(p jybackend.Placement) jynote.ServerName {
	if p.Server == nil {
		return ""
	}
	return p.Server.Info.Name
}

// logEnd tells how the request ended, and on what its last attempt rested.
func (r *request) logEnd(o jyoutcome.Outcome, reason jyoutcome.Reason, status int) {
	route, service := r.match.Route.Name, r.match.Service.Name
	p := r.last
	switch {
	case o == jyoutcome.NotRun:
		jylog.RequestRefused.LogAtMost(decidedLines, r.id(), route, service, reason, status, r.attempts, r.milliseconds(),
			nameOf(p), jybackend.RoundToThousandths(p.FailChance), p.Load, r.state.Number, r.state.Revision)
	case o == jyoutcome.Complete && status < http.StatusInternalServerError:
		jylog.RequestServed.LogAtMost(servedLines, r.id(), route, service, nameOf(p), status, r.attempts, r.milliseconds(),
			jybackend.RoundToThousandths(p.FailChance), p.Load, r.state.Number, r.state.Revision)
	default:
		jylog.RequestFailed.LogAtMost(decidedLines, r.id(), route, service, reason, status, r.attempts,
			r.milliseconds(), nameOf(p), jybackend.RoundToThousandths(p.FailChance), p.Load, r.state.Number, r.state.Revision)
	}
}

// logRetry tells that the request goes to another server.
func (r *request) logRetry(reason jyoutcome.Reason) {
	p := r.last
	jylog.RequestRetried.LogAtMost(decidedLines, r.id(), r.match.Service.Name, nameOf(p), reason, r.attempts, r.milliseconds(), jybackend.RoundToThousandths(p.FailChance), p.Load)
}

// logSilence tells that the answer of an attempt is overdue.
func (r *request) logSilence(p jybackend.Placement, passed time.Duration) {
	jylog.RequestSilent.LogAtMost(decidedLines, r.id(), r.match.Service.Name, nameOf(p), passed.Milliseconds(), p.Load)
}
