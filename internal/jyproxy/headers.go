package jyproxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers exchanged with callers and backend servers, described in docs/INTERFACES.md.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNextRequestID  = "Jackdawyard-Next-Request-Id"
	HeaderRemaining      = "Jackdawyard-Remaining-Milliseconds"
	HeaderForwardedFor   = "X-Forwarded-For"
	HeaderKey            = "Jackdawyard-Key"
	HeaderAccount        = "Jackdawyard-Account"
)

// jackdawyardPrefix is the prefix of the headers that only instances may set.
const jackdawyardPrefix = "Jackdawyard-"

var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeaders adds the end-to-end headers of src to dst, except those that only instances may set.
func copyHeaders(dst, src http.Header) {
	dropped := connectionHeaders(src)
	for name, values := range src {
		if dropped[name] || isHopByHop(name) || strings.HasPrefix(name, jackdawyardPrefix) {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

// connectionHeaders returns the canonical names of the headers that the Connection header lists, which are hop-by-hop too.
func connectionHeaders(h http.Header) map[string]bool {
	listed := h["Connection"]
	if len(listed) == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, line := range listed {
		for name := range strings.SplitSeq(line, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

func isHopByHop(name string) bool {
	for _, h := range hopByHop {
		if h == name {
			return true
		}
	}
	return false
}
