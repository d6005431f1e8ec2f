package jyproxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// maxBufferedAnswerBytes is the largest body that is read completely before the answer is passed on; the remainder of a longer
// one is streamed.
const maxBufferedAnswerBytes = 64 << 10

// answer is a backend server's answer: completely read into body, or with a remainder that is still streaming.
type answer struct {
	status    int
	header    http.Header
	body      []byte
	remainder io.Reader // nil if body is complete
	length    int64     // declared length, or -1
	// finish ends the attempt; complete says whether remainder was read to its end. It is nil if body is complete.
	finish func(complete bool)
	// addOutcomeHeader makes write set the outcome header.
	addOutcomeHeader bool
}

// write sends the answer to the caller. If a streamed answer ends early or its body exceeds limit bytes, write aborts the
// caller's connection, so that a truncated answer is not mistaken for a complete one.
func (a *answer) write(w http.ResponseWriter, limit int64, isHeadRequest bool) {
	h := w.Header()
	copyHeaders(h, a.header)
	if a.addOutcomeHeader {
		h.Set(jyoutcome.Header, string(jyoutcome.Complete))
	}
	if h.Get("Content-Type") == "" {
		// Prevents net/http from guessing a content type that the backend server did not set.
		h["Content-Type"] = nil
	}
	if a.remainder == nil {
		if !isHeadRequest && allowsBody(a.status) {
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
	n, err := io.Copy(w, io.LimitReader(a.remainder, limit+1-int64(len(a.body))))
	complete := err == nil && n+int64(len(a.body)) <= limit
	a.finish(complete)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// allowsBody reports whether an answer with this status may have a body.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// discard ends the attempt of an answer that is not passed on.
func (a *answer) discard() {
	if a.remainder != nil {
		a.finish(false)
	}
}

// result returns the answer in the form that is stored for resends.
func (a *answer) result() jydedup.Result {
	return jydedup.Result{
		Outcome: jyoutcome.Complete,
		Answer:  &jydedup.Answer{Status: a.status, Header: a.header, Body: a.body},
	}
}
