package jynode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

const (
	headerTimeout = 10 * time.Second // for a caller to send the headers of a request
	idleTimeout   = 2 * time.Minute  // of a connection without requests
)

// callerServer serves callers over HTTP/1.1 and cleartext HTTP/2 (h2c).
type callerServer struct {
	listener    net.Listener
	http        *http.Server
	connections *callerConnections
	isDraining  atomic.Bool
}

// newCallerServer listens at the address and passes requests of all paths and methods to the handler.
func newCallerServer(address string, h http.Handler) (*callerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, jyfault.New("listen for callers", NoAddress, "%w", err)
	}
	return newCallerServerAt(listener, h), nil
}

// newCallerServerAt is newCallerServer with an open listener.
func newCallerServerAt(listener net.Listener, h http.Handler) *callerServer {
	c := &callerServer{connections: newCallerConnections()}
	c.listener = c.connections.track(listener)
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(c.endConnections)
	// Any covers the methods that Echo lists, and RouteNotFound all others.
	e.Any("/*", echo.WrapHandler(h))
	e.RouteNotFound("/*", echo.WrapHandler(h))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	c.http = &http.Server{
		Handler: passOnOpen(e), Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnState: noteConnectionState, ConnContext: withCallerConnection,
	}
	return c
}

// endConnections makes the answers while the instance drains the last ones of their connections.
func (c *callerServer) endConnections(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		e.Response().Before(func() {
			if c.isDraining.Load() {
				e.Response().Header().Set(echo.HeaderConnection, "close")
			}
		})
		return next(e)
	}
}

// drain makes each further answer the last one of its connection. Idle connections stay open, so that callers don't lose the
// requests that they are just sending.
func (c *callerServer) drain() { c.isDraining.Store(true) }

// shutDown closes the listener and the idle connections, and returns when all requests that were read are answered, or when ctx ends.
func (c *callerServer) shutDown(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		// An error means that the time is up; Node.shutDown counts the remaining requests.
		_ = c.http.Shutdown(ctx)
	}()
	c.connections.end(ctx)
	<-closed
}

// Run serves until ctx ends, then closes all connections. Before that, shutDown lets the requests in progress finish.
func (c *callerServer) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- c.http.Serve(c.listener) }()
	select {
	case <-ctx.Done():
		err := c.http.Close()
		c.connections.closeAll()
		return err
	case err := <-failed:
		if err == http.ErrServerClosed {
			// shutDown has closed the listener. Returning before it is done would stop the other services.
			<-ctx.Done()
			return nil
		}
		return jyfault.New("serve callers", NoAddress, "%w", err)
	}
}
