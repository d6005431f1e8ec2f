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

// request is a request with its resends.
type request struct {
	runner     *runner
	entryIndex int    // of the entry that the next attempt goes to, modulo the number of entries
	token      string // identifies the request in the answer and in the servers' counts of effects
	path       string
	caller     string // Authorization header, which identifies the client account
	method     string
	body       string
	hasNoID    bool   // non-idempotent without a request id
	id         string // request id, once fetched
}

// attemptResult is the result of sending a request once.
type attemptResult struct {
	outcome  jyoutcome.Outcome
	reason   jyoutcome.Reason
	isBroken bool // no whole answer
	status   int
}

var errNoID = errors.New("no request id was issued")

// send fetches a request id if the request needs one. It sends the request until its outcome is Complete or NotRun, or no resend
// is left, and counts the result.
func (r *request) send(ctx context.Context) {
	if r.method == http.MethodPost && !r.hasNoID {
		if err := r.fetchID(ctx); err != nil {
			r.runner.updateResult(func(v *Result) { v.Broken++ })
			return
		}
	}
	result := r.attempt(ctx)
	for range r.runner.config.Resends {
		if r.hasNoID || result.outcome == jyoutcome.Complete || result.outcome == jyoutcome.NotRun {
			break
		}
		r.entryIndex++
		r.runner.updateResult(func(v *Result) { v.Resent++ })
		result = r.attempt(ctx)
	}
	r.recordOutcome(result)
}

func (r *request) baseURL() string {
	entries := r.runner.config.Entries
	return entries[r.entryIndex%len(entries)]
}

// fetchID fetches a request id, from the next entry after each failure.
func (r *request) fetchID(ctx context.Context) error {
	var err error
	for range 1 + r.runner.config.Resends {
		if err = r.fetchIDOnce(ctx); err == nil {
			return nil
		}
		r.entryIndex++
	}
	return err
}

func (r *request) fetchIDOnce(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.baseURL()+jyproxy.RequestIDPath, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", r.caller)
	resp, err := r.runner.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct{ RequestIds []string }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return err
	}
	if len(answer.RequestIds) == 0 {
		return errNoID
	}
	r.id = answer.RequestIds[0]
	return nil
}

// attempt sends the request once and checks a complete answer.
func (r *request) attempt(ctx context.Context) attemptResult {
	req, err := http.NewRequestWithContext(ctx, r.method, r.baseURL()+r.path, strings.NewReader(r.body))
	if err != nil {
		return attemptResult{isBroken: true}
	}
	req.Header.Set("Authorization", r.caller)
	req.Header.Set(jystandin.TokenHeader, r.token)
	if r.id != "" {
		req.Header.Set(jyproxy.HeaderIdempotencyKey, r.id)
	}
	resp, err := r.runner.client.Do(req)
	if err != nil {
		return attemptResult{isBroken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return attemptResult{isBroken: true}
	}
	result := attemptResult{outcome: jyoutcome.Outcome(resp.Header.Get(jyoutcome.Header)), status: resp.StatusCode}
	if result.outcome == jyoutcome.Complete {
		r.checkAnswer(resp.StatusCode, body)
		return result
	}
	var problem struct {
		Reason jyoutcome.Reason `json:"reason"`
	}
	if json.Unmarshal(body, &problem) == nil {
		result.reason = problem.Reason
	}
	return result
}

// checkAnswer compares an answer with the outcome Complete with its request. A server error is only counted.
func (r *request) checkAnswer(status int, body []byte) {
	if status >= http.StatusInternalServerError {
		r.runner.updateResult(func(v *Result) { v.ServerErr++ })
		return
	}
	var echo jystandin.Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		r.runner.updateResult(func(v *Result) { v.Truncated++ })
		return
	}
	sum := sha256.Sum256([]byte(r.body))
	if echo.Token != r.token || echo.BodyBytes != len(r.body) || echo.BodySum != hex.EncodeToString(sum[:8]) {
		r.runner.updateResult(func(v *Result) { v.Foreign++ })
	}
}

// recordOutcome counts the result of the last attempt, and stores the outcome of a non-idempotent request for the check of the
// effects.
func (r *request) recordOutcome(last attemptResult) {
	r.runner.mu.Lock()
	defer r.runner.mu.Unlock()
	result := &r.runner.result
	if last.isBroken {
		result.Broken++
	} else {
		result.Outcomes[last.outcome]++
	}
	if last.reason != "" {
		result.Reasons[last.reason]++
	}
	if r.method != http.MethodPost {
		return
	}
	// A server error is Complete, but doesn't say whether the request took effect.
	if last.outcome == jyoutcome.Complete && last.status >= http.StatusInternalServerError {
		last.outcome = jyoutcome.Unknown
	}
	r.runner.reportedOutcomes[r.token] = last.outcome
}
