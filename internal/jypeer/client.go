package jypeer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jywire/jywireconnect"
)

const (
	connectTimeout = 500 * time.Millisecond
	// pingAfter is how long a connection may be silent before it is pinged, so that a broken path is detected soon.
	pingAfter   = 3 * time.Second
	pingTimeout = 500 * time.Millisecond
	// idleTimeout is short to keep few connections open in a large fleet, where each heartbeat goes to another instance.
	idleTimeout = 10 * time.Second
	// maxMessageBytes leaves room for a configuration of 27,000 accounts with five keys each, which has some 7 MB.
	maxMessageBytes = 16 << 20
	// maxClients is the maximum number of cached clients; a full cache is cleared.
	maxClients = 1024
)

// Clients creates and caches the clients for calls to other instances. It is safe for concurrent use.
type Clients struct {
	http        *http.Client
	scheme      string
	credentials Credentials
	mu          sync.Mutex
	byAddress   map[string]jywireconnect.PeerServiceClient
}

// NewClients returns Clients that authenticate with the given credentials.
func NewClients(c Credentials) *Clients {
	t := newTransport(c, &net.Dialer{Timeout: connectTimeout})
	return &Clients{http: &http.Client{Transport: t}, scheme: schemeOf(c), credentials: c, byAddress: map[string]jywireconnect.PeerServiceClient{}}
}

// newTransport returns a transport to other instances over HTTP/2, with mutual TLS if the credentials have it.
func newTransport(c Credentials, dialer *net.Dialer) *http.Transport {
	protocols := &http.Protocols{}
	t := &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	if c.tls != nil {
		protocols.SetHTTP2(true)
		t.TLSClientConfig = clientTLS(c.tls)
		return t
	}
	protocols.SetUnencryptedHTTP2(true)
	return t
}

// schemeOf returns the URL scheme of calls between instances.
func schemeOf(c Credentials) string {
	if c.tls != nil {
		return "https"
	}
	return "http"
}

func clientTLS(c *tls.Config) *tls.Config {
	out := c.Clone()
	out.ClientAuth = tls.NoClientCert
	return out
}

// At returns the client for the instance at an address (host:port).
func (c *Clients) At(address string) jywireconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.byAddress[address]; p != nil {
		return p
	}
	if len(c.byAddress) >= maxClients {
		clear(c.byAddress)
	}
	p := jywireconnect.NewPeerServiceClient(c.http, c.scheme+"://"+address,
		connect.WithInterceptors(c.credentials.interceptor()),
		connect.WithReadMaxBytes(maxMessageBytes))
	c.byAddress[address] = p
	return p
}
