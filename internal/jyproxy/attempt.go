package jyproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
)

// attempt is one attempt of a request at one backend server.
type attempt struct {
	forwarder     *Forwarder
	request       *request
	placement     jybackend.Placement
	started       time.Time
	cancel        context.CancelFunc // cancels the copy of the request whose answer is used
	gotConnection bool               // without a connection, the attempt does not count towards the maximum
	overdueTimer  *time.Timer        // records an overdue answer; nil while the service's usual latency is unknown
}

// server returns the backend server chosen for the attempt.
func (a *attempt) server() *jybackend.Server { return a.placement.Server }

// run sends the request and returns the answer or the failure. It ends the attempt unless the answer is still streaming.
func (a *attempt) run(ctx context.Context) (*answer, *jyretry.Failure) {
	a.started = time.Now()
	firstCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	conn, err := a.connect(firstCtx)
	if err != nil {
		return nil, a.connectFailed(ctx, err)
	}
	a.gotConnection = true
	a.startOverdueTimer()
	x, err := a.roundTripHedged(ctx, firstCtx, conn)
	if err != nil {
		return nil, a.answerLost(ctx, conn, err)
	}
	return a.read(ctx, x)
}

// connect returns a connection to the server. For a non-idempotent request it must have been alive recently, since the request
// can't be sent again if the connection turns out to be silent.
func (a *attempt) connect(ctx context.Context) (*jybackend.Connection, error) {
	aliveSince := time.Time{}
	if !a.request.match.Idempotent {
		aliveSince = a.forwarder.requiredAliveSince(a.started)
	}
	conn, err := a.server().Pool.Get(ctx, a.started, aliveSince)
	if err == nil && !conn.Reused {
		a.request.service.RecordOpened(time.Now())
	}
	return conn, err
}

// connectFailed ends an attempt that got no connection, and classifies the failure.
func (a *attempt) connectFailed(ctx context.Context, err error) *jyretry.Failure {
	f := &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.ConnectFailed}
	var e *jybackend.Error
	switch {
	case errors.As(err, &e) && e.Kind == jybackend.Exhausted:
		f.Reason = jyoutcome.Overloaded
		a.end(jybackend.Neutral)
	case ctx.Err() != nil:
		f.Reason = contextReason(ctx)
		a.end(jybackend.Neutral)
	default:
		now := time.Now()
		a.server().RecordConnectionLost(now)
		a.request.service.RecordUnopened(now, a.server(), errors.Is(err, syscall.ECONNREFUSED))
		a.end(jybackend.Unreached)
	}
	return f
}

func contextReason(ctx context.Context) jyoutcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jyoutcome.DeadlinePassed
	}
	return jyoutcome.CancelledByCaller
}

// answerLost ends an attempt that got no complete answer, and classifies the failure.
func (a *attempt) answerLost(ctx context.Context, conn *jybackend.Connection, err error) *jyretry.Failure {
	if errors.Is(err, errNotSent) {
		a.end(jybackend.Neutral)
		return &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.DeadlinePassed}
	}
	if errors.Is(err, errNoLease) {
		a.end(jybackend.Neutral)
		return &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.AccountsStale}
	}
	f := &jyretry.Failure{Reason: jyoutcome.AnswerLost}
	if ctx.Err() == nil {
		f.MayHaveCrashedServer = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err)
		if f.MayHaveCrashedServer {
			a.server().RecordConnectionLost(time.Now())
		}
		a.end(lostConnectionResult(conn, f.MayHaveCrashedServer))
		return f
	}
	f.Reason = contextReason(ctx)
	if f.Reason == jyoutcome.DeadlinePassed {
		a.end(jybackend.TimedOut)
	} else {
		a.end(jybackend.Neutral)
	}
	return f
}

// startOverdueTimer starts a timer that records the answer as overdue once it takes longer than nearly all others, without
// waiting for the deadline.
func (a *attempt) startOverdueTimer() {
	service := a.request.service
	overdueAfter := service.OverdueAfter(a.placement)
	if overdueAfter == 0 {
		return
	}
	a.overdueTimer = time.AfterFunc(overdueAfter, func() {
		service.RecordOverdue(a.server())
		a.request.logOverdue(a.placement, time.Since(a.started))
	})
}

// lostConnectionResult returns Neutral if the server closed a reused connection, which is no sign of a fault: a faulty server
// fails on new connections too.
func lostConnectionResult(conn *jybackend.Connection, closedByServer bool) jybackend.Result {
	if conn.Reused && closedByServer {
		return jybackend.Neutral
	}
	return jybackend.Failed
}

// read reads the answer's body up to maxBufferedAnswerBytes. It ends the attempt unless the body is longer; then the answer's
// finish does.
func (a *attempt) read(ctx context.Context, x exchange) (*answer, *jyretry.Failure) {
	resp := x.response
	isRefusal := matchesAny(a.request.match.Service.NotRunMarks, resp)
	if a.request.dialect.mayBeRepeated(resp, isRefusal) {
		x.connection.CloseAfterAnswer()
	}
	a.recordDrainAndRetryAfter(resp)
	a.recordLimit(resp)
	if !a.request.dialect.acceptsHead(resp) {
		a.server().Pool.Drop(x.connection)
		return nil, a.answerLost(ctx, x.connection, errInvalidHead)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes+1))
	if err != nil {
		a.server().Pool.Drop(x.connection)
		return nil, a.answerLost(ctx, x.connection, err)
	}
	out := &answer{status: resp.StatusCode, header: resp.Header, body: body, length: resp.ContentLength}
	if len(body) > maxBufferedAnswerBytes {
		out.remainder = resp.Body
		out.finish = func(complete bool) { a.finishStream(x, complete) }
		return out, nil
	}
	a.server().Pool.Put(x.connection, time.Now())
	a.recordTransfer(int64(len(body)))
	service := a.request.match.Service
	if isRefusal {
		a.request.service.RecordShed(time.Now(), a.placement)
		a.end(jybackend.Neutral)
		return nil, &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.DeclaredNotRun}
	}
	a.end(resultOf(service, resp))
	return out, nil
}

// finishStream ends an attempt whose answer was streamed; complete says whether it was read to its end.
func (a *attempt) finishStream(x exchange, complete bool) {
	if !complete {
		a.server().Pool.Drop(x.connection)
		a.end(jybackend.Failed)
		return
	}
	a.server().Pool.Put(x.connection, time.Now())
	a.recordTransfer(x.response.ContentLength)
	a.end(resultOf(a.request.match.Service, x.response))
}

// recordTransfer records the bytes of the request's body and of its answer's; answerBytes is negative if that is unknown.
func (a *attempt) recordTransfer(answerBytes int64) {
	a.request.service.RecordTransfer(a.server(), max(0, a.request.length)+max(0, answerBytes))
}

// resultOf returns the result of an attempt with a complete answer.
func resultOf(s jynote.Service, resp *http.Response) jybackend.Result {
	if s.ShedMark.Matches(resp.StatusCode, resp.Header.Get) {
		return jybackend.Neutral
	}
	if resp.StatusCode == http.StatusGatewayTimeout {
		return jybackend.TimedOut
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return jybackend.Failed
	}
	return jybackend.Answered
}

func matchesAny(patterns []jynote.Mark, resp *http.Response) bool {
	for _, m := range patterns {
		if m.Matches(resp.StatusCode, resp.Header.Get) {
			return true
		}
	}
	return false
}

// recordDrainAndRetryAfter records whether the server states that it is draining, or asks for a pause by a 503 with Retry-After.
func (a *attempt) recordDrainAndRetryAfter(resp *http.Response) {
	if a.request.match.Service.DrainMark.Matches(resp.StatusCode, resp.Header.Get) && a.server().MarkDraining(time.Now()) {
		a.forwarder.config.OnEvidence(a.request.match.Service.Name)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	now := time.Now()
	if wait, ok := parseRetryAfter(resp.Header.Get("Retry-After"), now); ok {
		a.server().Pause(now, wait)
	}
}

// end records the result of the attempt, which no longer counts as in flight at the backend server.
func (a *attempt) end(r jybackend.Result) {
	a.cancel()
	if a.overdueTimer != nil {
		a.overdueTimer.Stop()
	}
	a.server().Release()
	if a.request.service.RecordAttempt(a.placement, r, time.Since(a.started)) {
		a.forwarder.config.OnEvidence(a.request.match.Service.Name)
	}
}
