package jynode

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/jackdawyard/jackdawyard/pkg/jyconnection"
)

// callerConnection is a caller's connection that is not closed between the read of a request and its answer, unless the server has
// given the connection up. The server itself takes a connection for idle until it has parsed a request's headers.
type callerConnection struct {
	net.Conn
	all *callerConnections

	mu      sync.Mutex
	state   jyconnection.Connection
	started bool // set once bytes were read
	http2   bool
}

// http2Preface begins each HTTP/2 connection.
var http2Preface = []byte("PRI * HTTP/2.0")

// Read implements net.Conn. It drops what arrives after Close.
func (c *callerConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.Read() {
		return 0, net.ErrClosed
	}
	c.http2 = c.http2 || (!c.started && bytes.HasPrefix(b[:n], http2Preface))
	c.started = true
	return n, err
}

// Close closes the connection once what was read is answered.
func (c *callerConnection) Close() error {
	c.mu.Lock()
	closesNow := c.state.End()
	c.mu.Unlock()
	if !closesNow {
		return nil
	}
	return c.closeNow()
}

// end closes the connection if nothing is unanswered, or if isHeadOverdue is set and the head of its request is incomplete. It reports
// whether an answer is still due.
func (c *callerConnection) end(isHeadOverdue bool) (isUnanswered bool) {
	c.mu.Lock()
	closesNow := c.state.End() || (isHeadOverdue && !c.state.IsPassedOn())
	if closesNow {
		c.state.Close()
	}
	c.mu.Unlock()
	if closesNow {
		// Its caller has sent no whole request that an answer could be due to.
		_ = c.closeNow()
	}
	return !closesNow && c.isUnanswered()
}

// CloseWrite ends the answers of the connection.
func (c *callerConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// closeNow closes the connection, also if a request is unanswered.
func (c *callerConnection) closeNow() error {
	c.mu.Lock()
	c.state.Close()
	c.mu.Unlock()
	c.all.remove(c)
	return c.Conn.Close()
}

// passOn reports whether a request that was read may still be passed on.
func (c *callerConnection) passOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.PassOn()
}

// answered records that all requests that were passed on are answered.
func (c *callerConnection) answered() {
	c.mu.Lock()
	closesNow := c.state.Answer()
	c.mu.Unlock()
	if closesNow {
		// The answer is sent; an error means that the caller has closed the connection already.
		_ = c.closeNow()
	}
}

func (c *callerConnection) isUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.IsUnanswered()
}

func (c *callerConnection) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

// noteConnectionState passes the states that the server reports on to the connection.
func noteConnectionState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConnection)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.answered()
	case http.StateClosed:
		// The server has given the connection up, maybe before the request was whole.
		_ = c.closeNow()
	}
}

type callerConnectionKey struct{}

// withCallerConnection adds the connection to the context of its requests.
func withCallerConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnectionKey{}, conn)
}

// passOnOpen passes requests on whose connections are open. It drops the others, whose answers nobody would get.
func passOnOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(callerConnectionKey{}).(*callerConnection)
		if ok && !c.passOn() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
