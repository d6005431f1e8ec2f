package jyproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Detour sends requests through other instances while this one reaches no backend server. It may be used concurrently.
type Detour interface {
	// Send sends a request through another instance, which does not send it through a third one. Its errors are of kind NoDetour if
	// no instance could take the request, which then did not run, and of kind DetourLost if it may have run.
	Send(ctx context.Context, r DetourRequest) (DetourAnswer, error)
}

// DetourSource is the instance that sent a request through another one.
type DetourSource struct {
	Instance string
	// Number is that of its state. An instance with another one must not serve the request: the source would seem to roll back, either
	// now or with its own next request.
	Number jynote.Number
	// Service is the one that it chose for the request, if the route splits its requests among several.
	Service jynote.ServiceName
	// Account is the client account of the request; empty if the route needs no key.
	Account jynote.AccountName
}

// DetourRequest is a request to be sent through another instance.
type DetourRequest struct {
	Service jynote.ServiceName
	Number  jynote.Number      // see DetourSource
	Account jynote.AccountName // see DetourSource
	Method  string
	URI     string // the request target, as the caller sent it
	Host    string
	// Header holds the end-to-end headers, with the remaining time.
	Header http.Header
	Length int64 // of the body, in bytes
	// Body returns the body. It may be called more than once only if IsReplayable is set.
	Body         func() io.Reader
	IsReplayable bool
	IsIdempotent bool
}

// IsRetryable reports whether the request may be sent again although it may have run.
func (r DetourRequest) IsRetryable() bool { return r.IsIdempotent && r.IsReplayable }

// DetourAnswer is what another instance returned for a request.
type DetourAnswer struct {
	Instance string
	// Response is the backend server's answer, whose body must be closed; nil if the request was refused.
	Response *http.Response
	Refusal  *jyoutcome.Refusal
}

// maxUnconfirmedLoss is the time after the path was lost in which requests still try servers if no other instance takes them: some
// servers may have crashed together.
const maxUnconfirmedLoss = time.Second

// runDetour handles a request while the path to the service's servers is lost. It returns false if a server must be tried from here.
func (f *Forwarder) runDetour(ctx context.Context, r *request) (out *answer, refusal *jyoutcome.Refusal, isDone bool) {
	lostSince := r.service.PathLostSince()
	if lostSince.IsZero() {
		return nil, nil, false
	}
	r.service.ProbeSoon(time.Now())
	if r.from != "" {
		return nil, f.noPathRefusal(r), true
	}
	if f.config.Detour == nil || r.attempts > 0 || r.mayHaveRun {
		return nil, nil, false
	}
	out, refusal, err := f.sendDetour(ctx, r)
	var e *Error
	switch {
	case err == nil:
		return out, refusal, true
	case errors.As(err, &e) && e.Kind == NoDetour && time.Since(lostSince) < maxUnconfirmedLoss:
		return nil, nil, false
	case errors.As(err, &e) && e.Kind == NoDetour:
		return nil, f.noPathRefusal(r), true
	}
	r.mayHaveRun = true
	reason := jyoutcome.AnswerLost
	if ctx.Err() != nil {
		reason = contextReason(ctx)
	}
	return nil, f.refusalWithReason(r, reason), true
}

func (f *Forwarder) noPathRefusal(r *request) *jyoutcome.Refusal {
	return f.withReturn(r, jyoutcome.Refusal{
		Outcome: jyoutcome.NotRun, Reason: jyoutcome.NoPath, Status: http.StatusServiceUnavailable,
		Detail: "No instance that was asked reaches a backend server.",
	})
}

// sendDetour sends the request through another instance and returns the answer or the refusal.
func (f *Forwarder) sendDetour(ctx context.Context, r *request) (*answer, *jyoutcome.Refusal, error) {
	header := r.outgoingHeader()
	header.Set(r.dialect.RemainingHeader, strconv.FormatInt(time.Until(r.deadline).Milliseconds(), 10))
	ctx, cancel := context.WithCancel(ctx)
	got, err := f.config.Detour.Send(ctx, DetourRequest{
		Service: r.match.Service.Name, Number: r.state.Number, Account: r.accountName(),
		Method: r.method, URI: r.uri, Host: r.host, Header: header,
		Length: r.length, Body: r.bodyReader, IsReplayable: r.replayable(), IsIdempotent: r.match.Idempotent,
	})
	if err != nil {
		cancel()
		return nil, nil, err
	}
	r.isDetoured = true
	jylog.RequestDetoured.LogAtMost(detourLinesPerSecond, r.logID(), r.match.Service.Name, got.Instance, r.elapsedMilliseconds())
	if got.Refusal != nil {
		cancel()
		return nil, got.Refusal, nil
	}
	out, err := readDetourAnswer(got.Response, cancel)
	return out, nil, err
}

// detourLinesPerSecond is the maximum number of log lines per second about requests that are sent through another instance.
const detourLinesPerSecond = 10

// readDetourAnswer reads the body up to maxBufferedAnswerBytes. cancel ends the exchange.
func readDetourAnswer(resp *http.Response, cancel context.CancelFunc) (*answer, error) {
	finish := func(bool) {
		cancel()
		_ = resp.Body.Close()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswerBytes+1))
	if err != nil {
		finish(false)
		return nil, err
	}
	out := &answer{status: resp.StatusCode, header: resp.Header, body: body, length: resp.ContentLength}
	if len(body) > maxBufferedAnswerBytes {
		out.remainder, out.finish = resp.Body, finish
		return out, nil
	}
	finish(true)
	return out, nil
}

// ServeDetour serves a request that another instance sent through this one. The caller's limits were applied there.
func (p *Proxy) ServeDetour(w http.ResponseWriter, in *http.Request, from DetourSource) {
	p.inProgress.Add(1)
	defer p.inProgress.Add(-1)
	r := &request{
		method: in.Method, uri: uriOf(in), host: in.Host, header: in.Header, dialect: &p.config.Dialect, from: from.Instance, arrived: time.Now(),
	}
	refusal := p.route(r, in.URL.EscapedPath())
	// An instance of a build without accounts names none.
	if r.state.Number != from.Number || (refusal == nil && !r.acceptAccount(from.Account)) {
		DeclineDetour(w, jyoutcome.OtherConfiguration)
		return
	}
	if v := r.snapshot.Service(from.Service); refusal == nil && v != nil {
		r.service, r.match.Service = v, v.Info
	}
	if refusal == nil {
		refusal = p.prepare(r, in)
	}
	if refusal != nil {
		r.logOutcome(refusal.Outcome, refusal.Reason, refusal.Status)
		WriteDetourRefusal(w, *refusal)
		return
	}
	jylog.DetourReceived.LogAtMost(detourLinesPerSecond, r.logID(), r.match.Service.Name, from.Instance)
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline)
	defer cancel()
	a, refusal := p.config.Forwarder.forward(ctx, r)
	if refusal != nil {
		p.record(r, refusal.Outcome, refusal.Reason, refusal.Status)
		WriteDetourRefusal(w, *refusal)
		return
	}
	p.record(r, jyoutcome.Complete, "", a.status)
	a.addOutcomeHeader = true
	a.write(w, p.config.MaxAnswerBytes, r.method == http.MethodHead)
}

// DeclineDetour answers the instance that sent the request that another one should take it.
func DeclineDetour(w http.ResponseWriter, reason jyoutcome.Reason) {
	WriteDetourRefusal(w, jyoutcome.Refusal{Outcome: jyoutcome.NotRun, Reason: reason, Status: http.StatusServiceUnavailable})
}

// HeaderDetourReason carries the reason of a refusal between instances.
const HeaderDetourReason = "Jackdawyard-Reason"

// WriteDetourRefusal writes a refusal to the instance that sent the request.
func WriteDetourRefusal(w http.ResponseWriter, r jyoutcome.Refusal) {
	h := w.Header()
	h.Set(jyoutcome.Header, string(r.Outcome))
	h.Set(HeaderDetourReason, string(r.Reason))
	h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', -1, 64))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.Status)
	// An error means that the other instance is gone, or no longer waits.
	_, _ = io.WriteString(w, r.Detail)
}

// ReadDetourRefusal returns the refusal in the answer of another instance, or nil if it is that of a backend server.
func ReadDetourRefusal(resp *http.Response) *jyoutcome.Refusal {
	reason := resp.Header.Get(HeaderDetourReason)
	if reason == "" {
		return nil
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return &jyoutcome.Refusal{
		Outcome: jyoutcome.Outcome(resp.Header.Get(jyoutcome.Header)), Reason: jyoutcome.Reason(reason), Status: resp.StatusCode,
		Detail: string(detail), RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// maxDetailBytes bounds the explanation of a refusal.
const maxDetailBytes = 1 << 10
