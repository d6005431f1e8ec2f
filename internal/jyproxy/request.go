package jyproxy

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyreturn"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

// maxBufferedBodyBytes is the largest request body that is kept for retries; a longer one is streamed.
const maxBufferedBodyBytes = 64 << 10

// maxIdentifiedBodyBytes bounds the body of a request that carries a request id, which is buffered completely.
const maxIdentifiedBodyBytes = 1 << 20

// request is a caller's request and the state of its processing.
type request struct {
	method        string
	uri           string // the request target
	host          string
	header        http.Header
	body          []byte    // the complete body, unless stream is set
	stream        io.Reader // a body too large to buffer
	length        int64     // of the body, in bytes
	caller        string    // a digest that identifies the caller
	remoteIP      string    // the caller's IP address; empty if the request was relayed
	match         jyroute.Match
	dialect       *Dialect
	service       *jybackend.Service
	arrived       time.Time
	deadline      time.Time
	attempts      int
	mayHaveRun    bool
	lastReason    jyoutcome.Reason // of the last failed attempt
	tried         []*jybackend.Server
	lastPlacement jybackend.Placement
	state         jynote.State        // current when the request was routed
	snapshot      *jybackend.Snapshot // by which the request was routed, so that it sees one configuration only
	account       *jynote.Account     // nil if the route needs no key
	lease         KeyLease            // nil if there is none
	// isLeased says that a caller's request may be served with a key. It is set before snapshot, since a lease covers the configurations
	// that are taken after its check only.
	isLeased bool
	quotas   AccountQuotas // holds a token that the request took; nil if there is none
	// from is the name of the instance that sent the request through this one; empty for a caller's request.
	from string
	// isDetoured is set once the request was sent through another instance.
	isDetoured bool
}

// replayable reports whether the complete body is buffered, so that it can be sent again.
func (r *request) replayable() bool { return r.stream == nil }

// maxAttempts returns the number of backend servers that the request may be sent to.
func (r *request) maxAttempts() int { return cmp.Or(r.match.Route.MaxAttempts, jyretry.MaxAttempts) }

// isRetryable reports whether the request may be retried if the next attempt fails.
func (r *request) isRetryable() bool {
	return r.match.Idempotent && r.replayable() && r.attempts+1 < r.maxAttempts() && r.service.IsRetryBudgetHalfFull()
}

// takeRetry takes a retry from the service's budget and reports whether there was one for the request.
func (r *request) takeRetry() bool {
	meetsObjective := r.objective() == 0 || time.Since(r.arrived)+r.service.ServiceTime() <= r.objective()
	return r.service.TakeRetry(jyretry.RankOf(r.priority(), meetsObjective))
}

// minRemaining returns the remaining time below which no server is expected to answer.
func (r *request) minRemaining() time.Duration { return r.service.ServiceTime() / 2 }

// refused returns what the time after which the caller comes back depends on, if the request is refused at now.
func (r *request) refused(now time.Time, refusal jyoutcome.Refusal) jyreturn.Refused {
	return jyreturn.Refused{
		Reason: refusal.Reason, MayHaveRun: refusal.Outcome == jyoutcome.Unknown,
		Idempotent: r.match.Idempotent, Remaining: r.deadline.Sub(now),
	}
}

// objective returns the latency objective of the route or, without one, of the service.
func (r *request) objective() time.Duration {
	return time.Duration(cmp.Or(r.match.Route.ObjectiveMilliseconds, r.match.Service.Objective.LatencyMilliseconds)) * time.Millisecond
}

// bodyReader returns the body for one attempt.
func (r *request) bodyReader() io.Reader {
	if r.stream != nil {
		return r.stream
	}
	if len(r.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(r.body)
}

// newOutgoing returns the request for one attempt.
func (r *request) newOutgoing(ctx context.Context, server jynote.BackendServer, now time.Time) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+server.Address+"/", r.bodyReader())
	if err != nil {
		return nil, jyfault.New("make request", Malformed, "%w", err)
	}
	// Sends the request target exactly as the caller wrote it.
	out.URL.Opaque = r.uri
	out.ContentLength = r.length
	out.Host = r.host
	out.Header = r.outgoingHeader()
	if _, hasUserAgent := out.Header["User-Agent"]; !hasUserAgent {
		// Prevents net/http from adding its default.
		out.Header["User-Agent"] = nil
	}
	if r.remoteIP != "" && r.dialect.UseJackdawyardHeaders {
		out.Header.Add(HeaderForwardedFor, r.remoteIP)
	}
	if r.dialect.ExpectedServerHeader != "" {
		out.Header.Set(r.dialect.ExpectedServerHeader, cmp.Or(server.Identity, string(server.Name)))
	}
	if r.account != nil && r.dialect.AccountHeader != "" {
		out.Header.Set(r.dialect.AccountHeader, string(r.account.Name))
	}
	out.Header.Set(r.dialect.RemainingHeader, strconv.FormatInt(r.deadline.Sub(now).Milliseconds(), 10))
	return out, nil
}

// fingerprint returns a digest of the method, the request target, the content type and the body.
func (r *request) fingerprint() jydedup.Fingerprint {
	h := sha256.New()
	for _, part := range []string{r.method, r.uri, r.header.Get("Content-Type")} {
		io.WriteString(h, part) //nolint:errcheck // a hash never fails
		h.Write([]byte{0})
	}
	h.Write(r.body)
	return jydedup.Fingerprint(h.Sum(nil))
}

// blockFingerprint returns a digest of what stays the same when a request that crashes servers is sent again, also to another instance:
// its fingerprint and the client account.
func (r *request) blockFingerprint() jyblock.Fingerprint {
	request := r.fingerprint()
	return sha256.Sum256(append(request[:], r.accountName()...))
}

// readBody buffers the body, or prepares to stream it if its Content-Length is over maxBufferedBodyBytes. It refuses a body over
// limit, in bytes, and one of unknown length over maxBufferedBodyBytes.
func (r *request) readBody(in *http.Request, limit int64) *jyoutcome.Refusal {
	r.length = in.ContentLength
	switch {
	case in.ContentLength == 0:
		return nil
	case in.ContentLength > limit:
		return bodyTooLarge(limit)
	case in.ContentLength > maxBufferedBodyBytes:
		r.stream = in.Body
		return nil
	}
	return r.buffer(in.Body, min(limit, maxBufferedBodyBytes))
}

// buffer reads the complete body. A body over limit is refused, since no backend server may receive a truncated one.
func (r *request) buffer(body io.Reader, limit int64) *jyoutcome.Refusal {
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return &jyoutcome.Refusal{Outcome: jyoutcome.NotRun, Reason: jyoutcome.BadRequest, Status: http.StatusBadRequest, Detail: "The request body ended early."}
	}
	if int64(len(raw)) > limit {
		return bodyTooLarge(limit)
	}
	r.body, r.length, r.stream = raw, int64(len(raw)), nil
	return nil
}

func bodyTooLarge(limit int64) *jyoutcome.Refusal {
	return &jyoutcome.Refusal{
		Outcome: jyoutcome.NotRun,
		Reason:  jyoutcome.BodyTooLarge,
		Status:  http.StatusRequestEntityTooLarge,
		Detail:  "The request body is over " + strconv.FormatInt(limit, 10) + " bytes; longer ones need a Content-Length and a service that allows them.",
	}
}
