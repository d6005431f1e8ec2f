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

// attempt is one try of a request at one backend server.
type attempt struct {
	forwarder *Forwarder
	request   *request
	placement jybackend.Placement
	started   time.Time
	cancel    context.CancelFunc // of the copy that is answered
	wasSent   bool
	overdue   *time.Timer // ends what the server's silence tells; nil where nothing is usual yet
}

// server returns the backend server that was chosen.
func (a *attempt) server() *jybackend.Server { return a.placement.Server }

// run sends the request and returns the answer, or what became of it; it ends the attempt unless the answer still streams.
func (a *attempt) run(ctx context.Context) (*answer, *jyretry.Failure) {
	a.started = time.Now()
	first, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	conn, err := a.connect(first)
	if err != nil {
		return nil, a.notConnected(ctx, err)
	}
	a.wasSent = true
	a.watchSilence()
	x, err := a.exchange(ctx, first, conn)
	if err != nil {
		return nil, a.lost(ctx, conn, err)
	}
	return a.read(ctx, x)
}

func (a *attempt) connect(ctx context.Context) (*jybackend.Connection, error) {
	proofAfter := time.Time{}
	if !a.request.match.Idempotent {
		proofAfter = a.forwarder.proofAfter(a.started)
	}
	return a.server().Pool.Get(ctx, a.started, proofAfter)
}

func (a *attempt) notConnected(ctx context.Context, err error) *jyretry.Failure {
	f := &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.ConnectFailed}
	var e *jybackend.Error
	switch {
	case errors.As(err, &e) && e.Kind == jybackend.Exhausted:
		f.Reason = jyoutcome.Overloaded
		a.end(jybackend.Neutral)
	case ctx.Err() != nil:
		f.Reason = reasonOf(ctx)
		a.end(jybackend.Neutral)
	case errors.Is(err, syscall.ECONNREFUSED):
		a.server().RecordConnectionLost(time.Now())
		a.end(jybackend.Failed)
	default:
		a.server().RecordConnectionLost(time.Now())
		a.end(jybackend.Unreached)
	}
	return f
}

func reasonOf(ctx context.Context) jyoutcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return jyoutcome.DeadlinePassed
	}
	return jyoutcome.CancelledByCaller
}

// lost ends an attempt that brought no head of an answer.
func (a *attempt) lost(ctx context.Context, conn *jybackend.Connection, err error) *jyretry.Failure {
	if errors.Is(err, errNotSent) {
		a.end(jybackend.Neutral)
		return &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.DeadlinePassed}
	}
	f := &jyretry.Failure{Reason: jyoutcome.AnswerLost}
	if ctx.Err() == nil {
		f.MayHaveCrashedServer = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err)
		if f.MayHaveCrashedServer {
			a.server().RecordConnectionLost(time.Now())
		}
		a.end(blame(conn, f.MayHaveCrashedServer))
		return f
	}
	f.Reason = reasonOf(ctx)
	if f.Reason == jyoutcome.DeadlinePassed {
		a.end(jybackend.TimedOut)
	} else {
		a.end(jybackend.Neutral)
	}
	return f
}

// watchSilence notes at once, not only at the deadline, that the answer takes longer than nearly all do.
func (a *attempt) watchSilence() {
	service := a.request.service
	patience := service.OverdueAfter(a.placement)
	if patience == 0 {
		return
	}
	a.overdue = time.AfterFunc(patience, func() {
		service.RecordOverdue(a.server())
		a.request.logSilence(a.placement, time.Since(a.started))
	})
}

// blame spares the server where a connection that was kept open has ended: a server in fault shows on new ones too.
func blame(conn *jybackend.Connection, ended bool) jybackend.Result {
	if conn.Reused && ended {
		return jybackend.Neutral
	}
	return jybackend.Failed
}

// read takes the answer's body as far as it is buffered.
func (a *attempt) read(ctx context.Context, x exchange) (*answer, *jyretry.Failure) {
	resp := x.response
	a.noteMarks(resp)
	if !a.request.dialect.isWhole(resp) {
		a.server().Pool.Drop(x.connection)
		return nil, a.lost(ctx, x.connection, errSpoilt)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer+1))
	if err != nil {
		a.server().Pool.Drop(x.connection)
		return nil, a.lost(ctx, x.connection, err)
	}
	out := &answer{status: resp.StatusCode, header: resp.Header, body: body, length: resp.ContentLength}
	if len(body) > maxBufferedAnswer {
		out.rest = resp.Body
		out.finish = func(complete bool) { a.finishStream(x, complete) }
		return out, nil
	}
	a.server().Pool.Put(x.connection, time.Now())
	service := a.request.match.Service
	if matchesAny(service.NotRunMarks, resp) {
		a.request.service.RecordShed(time.Now(), a.placement)
		a.end(jybackend.Neutral)
		return nil, &jyretry.Failure{CertainlyNotRun: true, Reason: jyoutcome.DeclaredNotRun}
	}
	a.end(resultOf(service, resp))
	return out, nil
}

func (a *attempt) finishStream(x exchange, complete bool) {
	if !complete {
		a.server().Pool.Drop(x.connection)
		a.end(jybackend.Failed)
		return
	}
	a.server().Pool.Put(x.connection, time.Now())
	a.end(resultOf(a.request.match.Service, x.response))
}

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

func matchesAny(marks []jynote.ResponsePattern, resp *http.Response) bool {
	for _, m := range marks {
		if m.Matches(resp.StatusCode, resp.Header.Get) {
			return true
		}
	}
	return false
}

func (a *attempt) noteMarks(resp *http.Response) {
	if a.request.match.Service.DrainMark.Matches(resp.StatusCode, resp.Header.Get) && a.server().MarkDraining(time.Now()) {
		a.forwarder.config.OnEvidence(a.request.match.Service.Name)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	now := time.Now()
	if wait, ok := retryAfter(resp.Header.Get("Retry-After"), now); ok {
		a.server().Pause(now, wait)
	}
}

// end counts the attempt and frees its place at the backend server.
func (a *attempt) end(r jybackend.Result) {
	a.cancel()
	if a.overdue != nil {
		a.overdue.Stop()
	}
	a.server().Release()
	if a.request.service.RecordAttempt(a.placement, r, time.Since(a.started)) {
		a.forwarder.config.OnEvidence(a.request.match.Service.Name)
	}
}
