package jybackend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// PoolConfig sets up a Pool.
type PoolConfig struct {
	Address        string // host:port
	ConnectTimeout time.Duration
	MaxIdle        time.Duration // maximum idle time of a connection
	// SourceAddress is the local IP address of the connections; empty lets the system choose.
	SourceAddress string
	// OnConnect is called after each attempt to open a connection, with the time that it took. It may be nil, and may be called
	// concurrently.
	OnConnect func(elapsed time.Duration, err error)
}

// Pool holds the connections of this instance to one backend server. Each connection that Get or Open returns must be passed to
// Put or Drop once.
type Pool struct {
	config  PoolConfig
	mu      sync.Mutex
	idle    []*Connection // most recently used last
	maxOpen int
	open    int
	closed  bool
}

// NewPool returns a pool without connections. It opens none until SetMaxOpen is called.
func NewPool(c PoolConfig) *Pool { return &Pool{config: c} }

// SetMaxOpen sets the maximum number of open connections. If more are open, no new one is opened until enough of them are closed.
func (p *Pool) SetMaxOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = n
}

// Get returns an idle connection that last returned an answer no earlier than aliveSince, or else a new one. Its errors are of
// kind ConnectFailed or Exhausted.
func (p *Pool) Get(ctx context.Context, now, aliveSince time.Time) (*Connection, error) {
	if c := p.takeIdle(now, aliveSince); c != nil {
		return c, nil
	}
	return p.Open(ctx, now)
}

// Open returns a new connection. Its errors are of kind ConnectFailed or Exhausted.
func (p *Pool) Open(ctx context.Context, now time.Time) (*Connection, error) {
	const op = "open connection"
	if !p.reserve() {
		return nil, jyfault.New(op, Exhausted, "all connections to %s are in use", p.config.Address)
	}
	dialer := &net.Dialer{Timeout: p.config.ConnectTimeout, KeepAlive: -1}
	if p.config.SourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.config.SourceAddress)}
	}
	started := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp", p.config.Address)
	if p.config.OnConnect != nil {
		p.config.OnConnect(time.Since(started), err)
	}
	if err != nil {
		p.unreserve()
		return nil, jyfault.New(op, ConnectFailed, "%w", err)
	}
	return newConnection(conn, now), nil
}

// takeIdle removes and returns the most recently used idle connection that is usable, or returns nil. It closes the unusable ones
// that it finds.
func (p *Pool) takeIdle(now, aliveSince time.Time) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if c.lastAliveAt.Before(aliveSince) {
			return nil
		}
		p.idle = p.idle[:last]
		if !c.isUsable(now.Sub(c.lastAliveAt), p.config.MaxIdle) {
			p.closeLocked(c)
			continue
		}
		c.Reused = true
		return c
	}
	return nil
}

// reserve counts one more open connection and reports whether it may be opened. At the maximum, it first closes the least
// recently used idle connection.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.open >= p.maxOpen && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.closeLocked(oldest)
	}
	if p.open >= p.maxOpen {
		return false
	}
	p.open++
	return true
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// closeLocked closes a connection and no longer counts it as open. The caller must hold mu.
func (p *Pool) closeLocked(c *Connection) {
	p.open--
	c.Close()
}

// Put gives a connection back to the pool. Its last answer must have been read to the end.
func (p *Pool) Put(c *Connection, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.ended {
		p.closeLocked(c)
		return
	}
	c.lastAliveAt = now
	p.idle = append(p.idle, c)
}

// Drop closes a connection that can't be reused, because a late answer could still arrive on it.
func (p *Pool) Drop(c *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// Close closes the idle connections now and the others when they are returned to the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}

// OpenCount returns the number of open connections, for the operator's status page.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
