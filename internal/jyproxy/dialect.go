package jyproxy

import (
	"net/http"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Dialect names what requests and answers carry beside their content, towards callers and backend servers.
type Dialect struct {
	// Remaining is the header with the milliseconds that are left for a request.
	Remaining string
	// ExpectedServer is the header that names the backend server which alone must run a request; empty sends none.
	ExpectedServer string
	// RequestID is the header by which answers are matched with their requests; empty matches by connection alone.
	RequestID string
	// Signature is the header that a successful answer bears; empty asks for none.
	Signature string
	// PlainAnswers says that a body in a content encoding is not the backend server's.
	PlainAnswers bool
	// OwnHeaders adds outcomes, request ids and the caller's address.
	OwnHeaders bool
	// Refuse writes a refusal of the request with this header.
	Refuse func(w http.ResponseWriter, request http.Header, r jyoutcome.Refusal) error
}

// OwnDialect returns the dialect that docs/INTERFACES.md describes.
func OwnDialect() Dialect {
	return Dialect{
		Remaining:  HeaderRemaining,
		OwnHeaders: true,
		Refuse: func(w http.ResponseWriter, _ http.Header, r jyoutcome.Refusal) error {
			return r.Write(w)
		},
	}
}

// isWhole reports whether the head of an answer is one that the caller may be given.
func (d Dialect) isWhole(resp *http.Response) bool {
	if d.PlainAnswers && resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	isSuccess := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return !isSuccess || d.Signature == "" || resp.Header.Get(d.Signature) != ""
}

// belongsTo reports whether an answer is one to the request with this header.
func (d Dialect) belongsTo(resp *http.Response, request http.Header) bool {
	if d.RequestID == "" {
		return true
	}
	got := resp.Header.Get(d.RequestID)
	return got == "" || got == request.Get(d.RequestID)
}
