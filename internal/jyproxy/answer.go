package jyproxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// maxBufferedAnswer is the size up to which an answer is held until it is complete.
const maxBufferedAnswer = 64 << 10

// answer is a backend server's answer: whole in body, or with a rest that still streams.
type answer struct {
	status int
	header http.Header
	body   []byte
	rest   io.Reader // nil when body is whole
	length int64     // declared length, or -1
	// finish ends the attempt; complete says whether rest was read to its end.
	finish func(complete bool)
	// hasOutcome adds the outcome header.
	hasOutcome bool
}

// write passes the answer on; an answer that ends early aborts the caller's connection.
func (a *answer) write(w http.ResponseWriter, limit int64, head bool) {
	h := w.Header()
	copyHeaders(h, a.header)
	if a.hasOutcome {
		h.Set(jyoutcome.Header, string(jyoutcome.Complete))
	}
	if h.Get("Content-Type") == "" {
		// No type is guessed for a body that came without one.
		h["Content-Type"] = nil
	}
	if a.rest == nil {
		if !head && allowsBody(a.status) {
			h.Set("Content-Length", strconv.Itoa(len(a.body)))
		}
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
		return
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		a.finish(false)
		panic(http.ErrAbortHandler)
	}
	n, err := io.Copy(w, io.LimitReader(a.rest, limit+1-int64(len(a.body))))
	complete := err == nil && n+int64(len(a.body)) <= limit
	a.finish(complete)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// allowsBody reports whether answers of this status have a body.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// discard ends an answer that the caller does not get.
func (a *answer) discard() {
	if a.rest != nil {
		a.finish(false)
	}
}

// result returns the answer as it is remembered for resends.
func (a *answer) result() jydedup.Result {
	return jydedup.Result{
		Outcome: jyoutcome.Complete,
		Answer:  &jydedup.Answer{Status: a.status, Header: a.header, Body: a.body},
	}
}
