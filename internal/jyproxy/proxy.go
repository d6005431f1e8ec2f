package jyproxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jymetric"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

// Recorder records the outcomes of requests for the report on error budget burn.
type Recorder interface {
	// Record records one ended request. It may be called concurrently.
	Record(e jymetric.EndedRequest)
}

// Config sets up a Proxy.
type Config struct {
	Directory *jybackend.Directory
	Forwarder *Forwarder
	// Ledger and Relayer may be nil if the dialect does not use Jackdawyard headers, since there are no request ids then.
	Ledger        Ledger
	Relayer       Relayer
	Recorder      Recorder
	CallerLimiter *CallerLimiter
	// KeyLease may be nil: then requests with keys are always served.
	KeyLease KeyLease
	// Quotas may be nil: then client accounts have no quotas.
	Quotas AccountQuotas
	// Dialect is DefaultDialect unless its WriteRefusal is set.
	Dialect Dialect
	// CallerHeader is the request header that identifies the caller. A request without it is identified by its IP address.
	CallerHeader string
	// MaxConcurrent is the number of requests in progress above which new ones are refused; see Proxy.InProgress.
	MaxConcurrent int
	// MaxAnswerBytes is the maximum size of a streamed answer body. The caller's connection is aborted if the body is longer.
	MaxAnswerBytes int64
}

// Proxy is the HTTP handler for callers.
type Proxy struct {
	config     Config
	inProgress atomic.Int64
	pace       pace
}

// New returns a proxy with the given configuration.
func New(c Config) *Proxy {
	if c.Dialect.WriteRefusal == nil {
		c.Dialect = DefaultDialect()
	}
	return &Proxy{config: c}
}

// InProgress returns the number of requests in progress. A request that runs here under a request id is counted separately from
// the caller's wait for its result, since it runs on if the caller disconnects.
func (p *Proxy) InProgress() int64 { return p.inProgress.Load() }

// ServeHTTP answers one caller's request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	p.inProgress.Add(1)
	defer p.inProgress.Add(-1)
	remoteIP, _, _ := net.SplitHostPort(in.RemoteAddr)
	r := &request{
		method: in.Method, uri: uriOf(in), host: in.Host, header: in.Header, dialect: &p.config.Dialect,
		caller: p.callerDigest(in, remoteIP), remoteIP: remoteIP, arrived: time.Now(),
	}
	if refusal := p.admit(r); refusal != nil {
		r.logOutcome(refusal.Outcome, refusal.Reason, refusal.Status)
		p.refuse(w, r, refusal)
		return
	}
	defer p.config.CallerLimiter.End(r.caller)
	defer p.pace.recordEnd()
	if p.config.Dialect.UseJackdawyardHeaders && in.URL.Path == RequestIDPath {
		p.issueRequestIDs(w, in, r.caller)
		return
	}
	r.isLeased = p.config.KeyLease == nil || p.config.KeyLease.IsValid()
	refusal := p.route(r, in.URL.EscapedPath())
	if refusal == nil {
		refusal = p.authenticate(r)
	}
	if refusal == nil {
		refusal = p.prepare(r, in)
	}
	if refusal != nil {
		r.logOutcome(refusal.Outcome, refusal.Reason, refusal.Status)
		p.refuse(w, r, refusal)
		return
	}
	p.serve(w, in, r)
}

// callerDigest identifies the caller by a digest of its CallerHeader or, without one, its address. A digest is used so that no
// credentials are stored or sent between instances.
func (p *Proxy) callerDigest(in *http.Request, remoteIP string) string {
	name := in.Header.Get(p.config.CallerHeader)
	if name == "" {
		name = remoteIP
	}
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:16])
}

// admit returns a refusal if the instance or the caller has too many requests. If it returns nil, the caller's request must be
// ended at the CallerLimiter.
func (p *Proxy) admit(r *request) *jyoutcome.Refusal {
	if p.inProgress.Load() > int64(p.config.MaxConcurrent) {
		return &jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.Overloaded, Status: http.StatusServiceUnavailable,
			Detail: "This instance is full.", RetryAfter: p.pace.after(r.arrived),
		}
	}
	if ok, wait := p.config.CallerLimiter.Begin(r.arrived, r.caller); !ok {
		return &jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.CallerLimit, Status: http.StatusTooManyRequests,
			Detail: "This caller is over its limit at this instance.", RetryAfter: wait,
		}
	}
	return nil
}

// route finds the route and the service of the request and sets its deadline, or returns a refusal if there is no route.
func (p *Proxy) route(r *request, path string) *jyoutcome.Refusal {
	snapshot := p.config.Directory.Snapshot()
	r.state, r.snapshot, r.lease = snapshot.State, snapshot, p.config.KeyLease
	if snapshot.State.Number == 0 {
		return &jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.NoReleaseNote, Status: http.StatusServiceUnavailable,
			Detail: "No release note is in force yet.", RetryAfter: time.Second,
		}
	}
	match, ok := snapshot.Routes.Find(jyroute.Request{Host: HostWithoutPort(r.host), Method: r.method, Path: path, SplitPoint: rand.Float64()})
	if !ok {
		return &jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.NoRoute, Status: http.StatusNotFound,
			Detail: "No route fits this method and path.",
		}
	}
	r.match = match
	r.service = snapshot.Service(match.Service.Name)
	r.deadline = r.arrived.Add(timeoutOf(match))
	return nil
}

// prepare validates the request and, unless the body is streamed, reads it before any backend server is contacted.
func (p *Proxy) prepare(r *request, in *http.Request) *jyoutcome.Refusal {
	if in.Header.Get("Upgrade") != "" || in.Method == http.MethodConnect {
		return &jyoutcome.Refusal{
			Outcome: jyoutcome.NotRun, Reason: jyoutcome.BadRequest, Status: http.StatusBadRequest,
			Detail: "Upgrades and tunnels are not served.",
		}
	}
	if text := in.Header.Get(p.config.Dialect.RemainingHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return &jyoutcome.Refusal{
				Outcome: jyoutcome.NotRun, Reason: jyoutcome.BadRequest, Status: http.StatusBadRequest,
				Detail: p.config.Dialect.RemainingHeader + " must be a whole number above 0.",
			}
		}
		callerDeadline := r.arrived.Add(time.Duration(min(ms, jynote.MaxDeadlineMilliseconds)) * time.Millisecond)
		if callerDeadline.Before(r.deadline) {
			r.deadline = callerDeadline
		}
	}
	return r.readBody(in, r.match.Service.MaxBodyBytes)
}

// serve forwards a prepared request and writes the answer or the refusal.
func (p *Proxy) serve(w http.ResponseWriter, in *http.Request, r *request) {
	ctx, cancel := context.WithDeadline(in.Context(), r.deadline)
	defer cancel()
	key := r.header.Get(HeaderIdempotencyKey)
	usesRequestIDs := p.config.Dialect.UseJackdawyardHeaders && !r.match.Idempotent
	if usesRequestIDs {
		w.Header().Set(HeaderNextRequestID, p.config.Ledger.Issue(jydedup.Caller(r.caller), 1)[0].String())
	}
	if key != "" && usesRequestIDs {
		p.serveIdentified(ctx, w, r, key)
		return
	}
	a, refusal := p.config.Forwarder.forward(ctx, r)
	if refusal != nil {
		p.record(r, refusal.Outcome, refusal.Reason, refusal.Status)
		p.refuse(w, r, refusal)
		return
	}
	p.record(r, jyoutcome.Complete, "", a.status)
	a.addOutcomeHeader = p.config.Dialect.UseJackdawyardHeaders
	a.write(w, p.config.MaxAnswerBytes, r.method == http.MethodHead)
}

// record writes the outcome of the request to the log and to the Recorder.
func (p *Proxy) record(r *request, o jyoutcome.Outcome, reason jyoutcome.Reason, status int) {
	if o == jyoutcome.Complete && status >= http.StatusInternalServerError {
		reason = jyoutcome.ServerError
	}
	r.logOutcome(o, reason, status)
	p.config.Recorder.Record(jymetric.EndedRequest{
		Route: r.match.Route.Name, Service: r.match.Service.Name, Outcome: o, Cause: reason, Status: status, Latency: time.Since(r.arrived),
	})
}

// serveIdentified serves a non-idempotent request with an Idempotency-Key, which must be a request id.
func (p *Proxy) serveIdentified(ctx context.Context, w http.ResponseWriter, r *request, key string) {
	id, err := jydedup.ParseID(key)
	if err != nil {
		refusal := refusalFor(jydedup.Result{Outcome: jyoutcome.NotRun, Reason: jyoutcome.RequestIDInvalid})
		r.logOutcome(refusal.Outcome, refusal.Reason, refusal.Status)
		p.refuse(w, r, &refusal)
		return
	}
	if r.stream != nil {
		if refusal := r.buffer(r.stream, maxIdentifiedBodyBytes); refusal != nil {
			r.logOutcome(refusal.Outcome, refusal.Reason, refusal.Status)
			p.refuse(w, r, refusal)
			return
		}
	}
	result := p.runIdentified(ctx, r, id)
	if result.Outcome != jyoutcome.Complete || result.Answer == nil {
		refusal := refusalFor(result)
		p.record(r, refusal.Outcome, refusal.Reason, refusal.Status)
		p.refuse(w, r, &refusal)
		return
	}
	p.record(r, jyoutcome.Complete, "", result.Answer.Status)
	a := &answer{addOutcomeHeader: true, status: result.Answer.Status, header: result.Answer.Header, body: result.Answer.Body}
	a.write(w, p.config.MaxAnswerBytes, r.method == http.MethodHead)
}

// refusalFor returns the refusal for a result without a stored answer.
func refusalFor(r jydedup.Result) jyoutcome.Refusal {
	out := jyoutcome.Refusal{Outcome: r.Outcome, Reason: r.Reason, Status: refusalStatus(r.Outcome, r.Reason), RetryAfter: time.Second}
	if out.Status == http.StatusUnauthorized {
		out.RetryAfter = 0
	}
	switch r.Outcome {
	case jyoutcome.Complete:
		// The request ran, but its answer was too large to store for a resend.
		out.Outcome, out.Reason, out.Status = jyoutcome.Unknown, jyoutcome.AnswerTooLarge, http.StatusBadGateway
		out.Detail = "The request ran; its answer is not kept."
	case jyoutcome.NotRun:
		out.Detail = "No backend server ran the request, and none will under this request id; use a new one."
	case jyoutcome.Unknown:
		out.Detail = "A backend server may have run the request; it will not run again under this request id."
	}
	return out
}

// RequestIDPath is the path at which callers get request ids in advance.
const RequestIDPath = jynote.ReservedPrefix + "request-ids"

const maxIssuedIDs = 100 // per request to RequestIDPath

// issuedIDs is the JSON answer to a request to RequestIDPath.
type issuedIDs struct {
	RequestIds []string
}

// issueRequestIDs answers a request at RequestIDPath with new request ids, one or as many as the query parameter Count says.
func (p *Proxy) issueRequestIDs(w http.ResponseWriter, in *http.Request, caller string) {
	count := 1
	if text := in.URL.Query().Get("Count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxIssuedIDs {
			_ = jyoutcome.Refusal{
				Outcome: jyoutcome.NotRun, Reason: jyoutcome.BadRequest, Status: http.StatusBadRequest, Detail: "Count must be 1 to 100.",
			}.Write(w)
			return
		}
		count = n
	}
	var out issuedIDs
	for _, id := range p.config.Ledger.Issue(jydedup.Caller(caller), count) {
		out.RequestIds = append(out.RequestIds, id.String())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(jyoutcome.Header, string(jyoutcome.Complete))
	_ = json.NewEncoder(w).Encode(out)
}

// refuse ends the request with a refusal.
func (p *Proxy) refuse(w http.ResponseWriter, r *request, refusal *jyoutcome.Refusal) {
	if refusal.Outcome == jyoutcome.NotRun {
		r.returnToken()
	}
	// A write error means that the caller has disconnected.
	_ = p.config.Dialect.WriteRefusal(w, r.header, *refusal)
}

// uriOf returns the request target as the caller sent it, or its path and query if it is an absolute URI.
func uriOf(in *http.Request) string {
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}

// HostWithoutPort returns the host of an authority, which may have a port.
func HostWithoutPort(authority string) string {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		return authority
	}
	return host
}

func pathOf(uri string) string {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return uri
	}
	return u.Path
}
