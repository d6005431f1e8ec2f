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
	Address        string
	ConnectTimeout time.Duration
	MaxIdle        time.Duration
}

// Pool holds the connections of this instance to one backend server.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	idle   []*Connection // most recently used last
	most   int
	open   int
	closed bool
}

// NewPool returns a pool without connections; SetMost must follow.
func NewPool(c PoolConfig) *Pool { return &Pool{config: c} }

// SetMaxOpen bounds the connections that may be open.
func (p *Pool) SetMaxOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = n
}

// Get returns an idle connection with proof of life since proofAfter, or a new one; its errors are of kind ConnectFailed or Exhausted.
func (p *Pool) Get(ctx context.Context, now, proofAfter time.Time) (*Connection, error) {
	if c := p.takeIdle(now, proofAfter); c != nil {
		return c, nil
	}
	return p.Open(ctx, now)
}

// Open returns a new connection; its errors are of kind ConnectFailed or Exhausted.
func (p *Pool) Open(ctx context.Context, now time.Time) (*Connection, error) {
	const op = "open connection"
	if !p.reserve() {
		return nil, jyfault.New(op, Exhausted, "all connections to %s are in use", p.config.Address)
	}
	dialer := &net.Dialer{Timeout: p.config.ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		p.unreserve()
		return nil, jyfault.New(op, ConnectFailed, "%w", err)
	}
	return newConnection(conn, now), nil
}

// takeIdle prefers the most recently used connection, and closes those that ended or idled too long.
func (p *Pool) takeIdle(now, proofAfter time.Time) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if c.proof.Before(proofAfter) {
			return nil
		}
		p.idle = p.idle[:last]
		if !c.isUsable(now.Sub(c.proof), p.config.MaxIdle) {
			p.closeLocked(c)
			continue
		}
		c.Reused = true
		return c
	}
	return nil
}

// reserve counts one more connection; where all are open it closes the idle one without use for longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.open >= p.most && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.closeLocked(oldest)
	}
	if p.open >= p.most {
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

func (p *Pool) closeLocked(c *Connection) {
	p.open--
	c.Close()
}

// Put returns a connection whose last answer was read to its end.
func (p *Pool) Put(c *Connection, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.ended {
		p.closeLocked(c)
		return
	}
	c.proof = now
	p.idle = append(p.idle, c)
}

// Drop closes a connection that a late answer could still reach.
func (p *Pool) Drop(c *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// Close closes the idle connections, and each other one when it is returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}

// OpenCount returns the open connections, for the operator's status page.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
