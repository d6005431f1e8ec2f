package jyload

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// query is one request, with its resends.
type query struct {
	runner *runner
	entry  int
	token  string
	path   string
	caller string
	method string
	body   string
	plain  bool
	id     string
}

// verdict is what one try of a query led to.
type verdict struct {
	outcome jyoutcome.Outcome
	reason  jyoutcome.Reason
	broken  bool
	status  int
}

var errNoID = errors.New("no request id was issued")

func (q *query) send(ctx context.Context) {
	if q.method == http.MethodPost && !q.plain {
		if err := q.fetchID(ctx); err != nil {
			q.runner.count(func(v *Result) { v.Broken++ })
			return
		}
	}
	v := q.try(ctx)
	for range q.runner.config.Resends {
		if q.plain || v.outcome == jyoutcome.Complete || v.outcome == jyoutcome.NotRun {
			break
		}
		q.entry++
		q.runner.count(func(v *Result) { v.Resent++ })
		v = q.try(ctx)
	}
	q.finish(v)
}

func (q *query) base() string {
	e := q.runner.config.Entries
	return e[q.entry%len(e)]
}

func (q *query) fetchID(ctx context.Context) error {
	var err error
	for range 1 + q.runner.config.Resends {
		if err = q.fetchIDOnce(ctx); err == nil {
			return nil
		}
		q.entry++
	}
	return err
}

func (q *query) fetchIDOnce(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, q.base()+jyproxy.RequestIDPath, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", q.caller)
	resp, err := q.runner.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ RequestIds []string }
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return err
	}
	if len(out.RequestIds) == 0 {
		return errNoID
	}
	q.id = out.RequestIds[0]
	return nil
}

func (q *query) try(ctx context.Context) verdict {
	req, err := http.NewRequestWithContext(ctx, q.method, q.base()+q.path, strings.NewReader(q.body))
	if err != nil {
		return verdict{broken: true}
	}
	req.Header.Set("Authorization", q.caller)
	req.Header.Set(jystandin.TokenHeader, q.token)
	if q.id != "" {
		req.Header.Set(jyproxy.HeaderIdempotencyKey, q.id)
	}
	resp, err := q.runner.client.Do(req)
	if err != nil {
		return verdict{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return verdict{broken: true}
	}
	v := verdict{outcome: jyoutcome.Outcome(resp.Header.Get(jyoutcome.Header)), status: resp.StatusCode}
	if v.outcome == jyoutcome.Complete {
		q.check(resp.StatusCode, raw)
		return v
	}
	var problem struct {
		Reason jyoutcome.Reason `json:"reason"`
	}
	if json.Unmarshal(raw, &problem) == nil {
		v.reason = problem.Reason
	}
	return v
}

// check compares a complete answer with its request.
func (q *query) check(status int, raw []byte) {
	if status >= http.StatusInternalServerError {
		q.runner.count(func(v *Result) { v.ServerErr++ })
		return
	}
	var e jystandin.Echo
	if err := json.Unmarshal(raw, &e); err != nil {
		q.runner.count(func(v *Result) { v.Truncated++ })
		return
	}
	sum := sha256.Sum256([]byte(q.body))
	if e.Token != q.token || e.BodyBytes != len(q.body) || e.BodySum != hex.EncodeToString(sum[:8]) {
		q.runner.count(func(v *Result) { v.Foreign++ })
	}
}

// finish counts the last verdict.
func (q *query) finish(v verdict) {
	q.runner.mu.Lock()
	defer q.runner.mu.Unlock()
	r := &q.runner.result
	if v.broken {
		r.Broken++
	} else {
		r.Outcomes[v.outcome]++
	}
	if v.reason != "" {
		r.Reasons[v.reason]++
	}
	if q.method != http.MethodPost {
		return
	}
	// A server error is complete, but whether the work was done is the backend server's to say.
	if v.outcome == jyoutcome.Complete && v.status >= http.StatusInternalServerError {
		v.outcome = jyoutcome.Unknown
	}
	q.runner.told[q.token] = v.outcome
}
