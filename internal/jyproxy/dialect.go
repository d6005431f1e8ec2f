package jyproxy

import (
	"net/http"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Dialect names what requests and answers carry beside their content, towards callers and backend servers.
type Dialect struct {
	// RemainingHeader is the header with the milliseconds that are left for a request.
	RemainingHeader string
	// ExpectedServerHeader is the header that names the backend server which alone must run a request; empty sends none.
	ExpectedServerHeader string
	// RequestIDHeader is the header by which answers are matched with their requests; empty matches by connection alone.
	RequestIDHeader string
	// SignatureHeader is the header that a successful answer bears; empty asks for none.
	SignatureHeader string
	// RejectEncodedAnswers says that a body in a content encoding is not the backend server's.
	RejectEncodedAnswers bool
	// UseJackdawyardHeaders adds outcomes, request ids and the caller's address.
	UseJackdawyardHeaders bool
	// WriteRefusal writes a refusal of the request with this header.
	WriteRefusal func(w http.ResponseWriter, request http.Header, r jyoutcome.Refusal) error
}

// DefaultDialect returns the dialect that docs/INTERFACES.md describes.
func DefaultDialect() Dialect {
	return Dialect{
		RemainingHeader:       HeaderRemaining,
		UseJackdawyardHeaders: true,
		WriteRefusal: func(w http.ResponseWriter, _ http.Header, r jyoutcome.Refusal) error {
			return r.Write(w)
		},
	}
}

// isWhole reports whether the head of an answer is one that the caller may be given.
func (d Dialect) isWhole(resp *http.Response) bool {
	if d.RejectEncodedAnswers && resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	isSuccess := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	return !isSuccess || d.SignatureHeader == "" || resp.Header.Get(d.SignatureHeader) != ""
}

// belongsTo reports whether an answer is one to the request with this header.
func (d Dialect) belongsTo(resp *http.Response, request http.Header) bool {
	if d.RequestIDHeader == "" {
		return true
	}
	got := resp.Header.Get(d.RequestIDHeader)
	return got == "" || got == request.Get(d.RequestIDHeader)
}
