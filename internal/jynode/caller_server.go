package jynode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

const (
	headerTimeout = 10 * time.Second // for a caller to send the headers of a request
	idleTimeout   = 2 * time.Minute  // of a connection without requests
)

// callerServer serves callers over HTTP/1.1 and cleartext HTTP/2 (h2c).
type callerServer struct {
	listener net.Listener
	http     *http.Server
}

// newCallerServer listens at the address and passes requests of all paths and methods to the proxy.
func newCallerServer(address string, p *jyproxy.Proxy) (*callerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, jyfault.New("listen for callers", NoAddress, "%w", err)
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	// Any covers the methods that Echo lists, and RouteNotFound all others.
	e.Any("/*", echo.WrapHandler(p))
	e.RouteNotFound("/*", echo.WrapHandler(p))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &callerServer{listener: listener, http: &http.Server{
		Handler: e, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}}, nil
}

// Run serves until ctx ends, then closes all connections. Before that, shutDown lets the requests in progress finish.
func (c *callerServer) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- c.http.Serve(c.listener) }()
	select {
	case <-ctx.Done():
		return c.http.Close()
	case err := <-failed:
		if err == http.ErrServerClosed {
			// shutDown has closed the listener. Returning before it is done would stop the other services.
			<-ctx.Done()
			return nil
		}
		return jyfault.New("serve callers", NoAddress, "%w", err)
	}
}
