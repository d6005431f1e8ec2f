package jystandin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// How often an instance's readiness is polled, and how long one poll may take.
const (
	readinessPollInterval = 200 * time.Millisecond
	readinessTimeout      = time.Second
)

// Balancer is a test double of the platform's load balancer: a TCP proxy that spreads connections over the ready instances,
// round robin.
type Balancer struct {
	address   string
	instances []*balancedInstance
	next      atomic.Uint64
}

type balancedInstance struct {
	callerAddress   string
	operatorAddress string
	ready           atomic.Bool // whether the last poll was answered with status 200
}

// NewBalancer returns a balancer for instances given as CALLER/OPERATOR: the address that serves callers and the one that
// serves /ready. Its errors are of kind Malformed.
func NewBalancer(address string, pairs []string) (*Balancer, error) {
	b := &Balancer{address: address}
	for _, p := range pairs {
		caller, operator, ok := strings.Cut(p, "/")
		if !ok {
			return nil, jyfault.New("make balancer", Malformed, "%q is not a pair of addresses CALLER/OPERATOR", p)
		}
		b.instances = append(b.instances, &balancedInstance{callerAddress: caller, operatorAddress: operator})
	}
	return b, nil
}

// Run listens and serves until ctx is done. Its errors are of kind Unreachable.
func (b *Balancer) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return jyfault.New("run balancer", Unreachable, "%w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, i := range b.instances {
		wg.Go(func() { i.pollReadiness(ctx) })
	}
	for {
		c, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return jyfault.New("run balancer", Unreachable, "%w", err)
		}
		go b.proxy(c)
	}
}

// pollReadiness updates ready until ctx is done.
func (i *balancedInstance) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessTimeout}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + i.operatorAddress + "/ready")
		i.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			_ = resp.Body.Close()
		}
		jykernel.Wait(ctx, readinessPollInterval)
	}
}

// nextReady returns the next ready instance, or nil if none is ready.
func (b *Balancer) nextReady() *balancedInstance {
	n := uint64(len(b.instances))
	start := b.next.Add(1)
	for k := range n {
		if i := b.instances[(start+k)%n]; i.ready.Load() {
			return i
		}
	}
	return nil
}

// proxy copies bytes between a connection and an instance until both directions have ended. It closes the connection at once if no
// instance is ready.
func (b *Balancer) proxy(c net.Conn) {
	defer func() { _ = c.Close() }()
	i := b.nextReady()
	if i == nil {
		return
	}
	upstream, err := net.Dial("tcp", i.callerAddress)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(upstream, c)
		closeWrite(upstream)
		close(done)
	}()
	_, _ = io.Copy(c, upstream)
	closeWrite(c)
	<-done
}

// closeWrite closes the sending side of a connection, so that the peer reads the end of the stream.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
