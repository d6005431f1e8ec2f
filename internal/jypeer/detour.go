package jypeer

import (
	"crypto/subtle"
	"net"
	"net/http"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

// DetourClient sends HTTP requests to other instances unchanged. It is safe for concurrent use.
type DetourClient struct {
	http   *http.Client
	scheme string
	key    string
}

// NewDetourClient returns a client that authenticates with the given credentials.
func NewDetourClient(c Credentials) *DetourClient {
	dialer := &net.Dialer{Timeout: connectTimeout}
	t := newTransport(c, dialer)
	// The body of an answer must not be decoded.
	t.DisableCompression = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &DetourClient{http: &http.Client{Transport: t, CheckRedirect: noRedirect}, scheme: schemeOf(c), key: c.sharedKey}
}

// BaseURL returns the URL of the instance at an address (host:port), without a path.
func (d *DetourClient) BaseURL(address string) string { return d.scheme + "://" + address }

// Do sends a request and returns the answer, of any status.
func (d *DetourClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(keyHeader, d.key)
	return d.http.Do(r)
}

// authorized returns a handler that refuses requests without the shared key, and removes the key from the others.
func (c Credentials) authorized(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(c.sharedKey)) != 1 {
			jylog.PeerRefused.Log(r.RemoteAddr)
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		r.Header.Del(keyHeader)
		h.ServeHTTP(w, r)
	})
}
