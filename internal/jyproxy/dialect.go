package jyproxy

import (
	"net/http"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Dialect defines the headers and the refusal format that are used with callers and backend servers.
type Dialect struct {
	// RemainingHeader is the header with the milliseconds that remain until a request's deadline.
	RemainingHeader string
	// ExpectedServerHeader is the header that names the only backend server that may run a request; empty sends none.
	ExpectedServerHeader string
	// RequestIDHeader is the header by which answers are matched to requests; empty matches by connection only.
	RequestIDHeader string
	// KeyHeader is the header with the key of a client account, and AccountHeader the one by which servers are told the account.
	KeyHeader     string
	AccountHeader string
	// SignatureHeader is the header that a successful (2xx) answer must carry; empty requires none.
	SignatureHeader string
	// RejectEncodedAnswers rejects answers with a Content-Encoding: an encoded body does not come from the backend server itself.
	RejectEncodedAnswers bool
	// UseJackdawyardHeaders adds the headers for outcomes, request ids and the caller's address.
	UseJackdawyardHeaders bool
	// WriteRefusal writes a refusal of the request that has these headers.
	WriteRefusal func(w http.ResponseWriter, request http.Header, r jyoutcome.Refusal) error
}

// DefaultDialect returns the dialect described in docs/INTERFACES.md.
func DefaultDialect() Dialect {
	return Dialect{
		RemainingHeader:       HeaderRemaining,
		KeyHeader:             HeaderKey,
		AccountHeader:         HeaderAccount,
		UseJackdawyardHeaders: true,
		WriteRefusal: func(w http.ResponseWriter, _ http.Header, r jyoutcome.Refusal) error {
			return r.Write(w)
		},
	}
}

// acceptsHead reports whether an answer with this head may be passed on to the caller.
func (d Dialect) acceptsHead(resp *http.Response) bool {
	if d.RejectEncodedAnswers && resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	return !isSuccess(resp) || d.SignatureHeader == "" || resp.Header.Get(d.SignatureHeader) != ""
}

// isSignedSuccess reports whether an answer is a success of the backend server itself.
func (d Dialect) isSignedSuccess(resp *http.Response) bool {
	return isSuccess(resp) && d.acceptsHead(resp)
}

func isSuccess(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
}

// mayBeRepeated reports whether a copy of the answer could later be taken for that to another request on the same connection: it does not
// name its request, and either servers name it otherwise, or it is a refusal, by which the other request would seem not to have run.
func (d Dialect) mayBeRepeated(resp *http.Response, isRefusal bool) bool {
	if d.RequestIDHeader == "" {
		return isRefusal
	}
	return resp.Header.Get(d.RequestIDHeader) == ""
}

// answersRequest reports whether resp answers the request that has these headers. An answer without RequestIDHeader is assumed to.
func (d Dialect) answersRequest(resp *http.Response, request http.Header) bool {
	if d.RequestIDHeader == "" {
		return true
	}
	got := resp.Header.Get(d.RequestIDHeader)
	return got == "" || got == request.Get(d.RequestIDHeader)
}
