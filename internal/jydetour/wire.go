package jydetour

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Path is the path of the requests between instances. An instance of an older version answers 404 there.
const Path = "/jackdawyard/detour"

// Headers between instances, in addition to those of the caller's request.
const (
	headerMethod  = "Jackdawyard-Method"
	headerURI     = "Jackdawyard-Uri"
	headerHost    = "Jackdawyard-Host"
	headerFrom    = "Jackdawyard-From"
	headerNumber  = "Jackdawyard-Number"
	headerService = "Jackdawyard-Service"
	headerAccount = jyproxy.HeaderAccount
)

// newRequest returns the request to the instance at a base URL.
func newRequest(ctx context.Context, base, from string, r jyproxy.DetourRequest) (*http.Request, error) {
	// POST requests are never sent again by net/http.
	method := http.MethodPost
	if r.Method == http.MethodHead {
		method = http.MethodHead
	}
	out, err := http.NewRequestWithContext(ctx, method, base+Path, r.Body())
	if err != nil {
		return nil, jyfault.New("make detour", jyproxy.NoDetour, "%w", err)
	}
	out.ContentLength = r.Length
	out.GetBody = nil
	out.Header = r.Header.Clone()
	if _, hasUserAgent := out.Header["User-Agent"]; !hasUserAgent {
		// Prevents net/http from adding its default.
		out.Header["User-Agent"] = nil
	}
	out.Header.Set(headerMethod, r.Method)
	out.Header.Set(headerURI, r.URI)
	out.Header.Set(headerHost, r.Host)
	out.Header.Set(headerFrom, from)
	out.Header.Set(headerNumber, strconv.FormatUint(uint64(r.Number), 10))
	out.Header.Set(headerService, string(r.Service))
	if r.Account != "" {
		out.Header.Set(headerAccount, string(r.Account))
	}
	return out, nil
}

// originalRequest returns the caller's request, as the other instance received it, and that instance.
func originalRequest(in *http.Request) (r *http.Request, from jyproxy.DetourSource, err error) {
	const op = "read detour"
	u, err := url.ParseRequestURI(in.Header.Get(headerURI))
	if err != nil {
		return nil, from, jyfault.New(op, jyproxy.Malformed, "%w", err)
	}
	number, err := strconv.ParseUint(in.Header.Get(headerNumber), 10, 64)
	if err != nil {
		return nil, from, jyfault.New(op, jyproxy.Malformed, "%w", err)
	}
	from = jyproxy.DetourSource{
		Instance: in.Header.Get(headerFrom), Number: jynote.Number(number), Service: jynote.ServiceName(in.Header.Get(headerService)),
		Account: jynote.AccountName(in.Header.Get(headerAccount)),
	}
	out := in.Clone(in.Context())
	out.Method, out.URL, out.RequestURI = in.Header.Get(headerMethod), u, in.Header.Get(headerURI)
	out.Host = in.Header.Get(headerHost)
	for _, name := range []string{headerMethod, headerURI, headerHost, headerFrom, headerNumber, headerService, headerAccount} {
		out.Header.Del(name)
	}
	return out, from, nil
}
