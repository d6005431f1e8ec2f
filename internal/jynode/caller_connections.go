package jynode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
)

// unreadHeadTimeout is how long a connection whose request's headers are incomplete stays open when the instance stops.
const unreadHeadTimeout = time.Second

// callerConnections holds the open connections of callers.
type callerConnections struct {
	mu   sync.Mutex
	open map[*callerConnection]struct{}
}

func newCallerConnections() *callerConnections {
	return &callerConnections{open: map[*callerConnection]struct{}{}}
}

// trackedListener is a listener whose connections are callerConnections.
type trackedListener struct {
	net.Listener
	connections *callerConnections
}

// track returns a listener that accepts the connections of another one and holds them while they are open.
func (c *callerConnections) track(l net.Listener) net.Listener {
	return trackedListener{Listener: l, connections: c}
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConnection{Conn: accepted, all: l.connections}
	l.connections.add(conn)
	return conn, nil
}

func (c *callerConnections) add(conn *callerConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
}

func (c *callerConnections) remove(conn *callerConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// list returns the open connections.
func (c *callerConnections) list() []*callerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*callerConnection, 0, len(c.open))
	for conn := range c.open {
		out = append(out, conn)
	}
	return out
}

// end closes each connection once it is idle, and returns when none has an unanswered request, or when ctx ends. The server's shutdown
// closes HTTP/2 connections, since it tells their callers first which requests it will not serve.
func (c *callerConnections) end(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		isHeadOverdue := time.Since(started) > unreadHeadTimeout
		unanswered := 0
		for _, conn := range c.list() {
			if conn.isHTTP2() {
				continue
			}
			if conn.end(isHeadOverdue) {
				unanswered++
			}
		}
		if unanswered == 0 {
			return
		}
		jykernel.Wait(ctx, drainPollInterval)
	}
}

// closeAll closes all connections, also those with unanswered requests.
func (c *callerConnections) closeAll() {
	for _, conn := range c.list() {
		// Its caller is gone, or learns by this that no answer comes.
		_ = conn.closeNow()
	}
}
