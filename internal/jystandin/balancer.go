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

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = time.Second
)

// Balancer stands in for the platform's balancer: it passes connections to ready instances in turn.
type Balancer struct {
	address   string
	instances []*balanced
	next      atomic.Uint64
}

type balanced struct {
	caller   string
	operator string
	ready    atomic.Bool
}

// NewBalancer returns a balancer for pairs of caller address and operator address, joined by a slash.
func NewBalancer(address string, pairs []string) (*Balancer, error) {
	b := &Balancer{address: address}
	for _, p := range pairs {
		caller, operator, ok := strings.Cut(p, "/")
		if !ok {
			return nil, jyfault.New("make balancer", Malformed, "%q is no pair of addresses", p)
		}
		b.instances = append(b.instances, &balanced{caller: caller, operator: operator})
	}
	return b, nil
}

// Run serves until ctx ends.
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
		wg.Go(func() { i.check(ctx) })
	}
	for {
		c, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return jyfault.New("run balancer", Unreachable, "%w", err)
		}
		go b.pass(c)
	}
}

func (i *balanced) check(ctx context.Context) {
	client := &http.Client{Timeout: checkTimeout}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + i.operator + "/ready")
		i.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			_ = resp.Body.Close()
		}
		jykernel.Wait(ctx, checkInterval)
	}
}

func (b *Balancer) pick() *balanced {
	n := uint64(len(b.instances))
	start := b.next.Add(1)
	for k := range n {
		if i := b.instances[(start+k)%n]; i.ready.Load() {
			return i
		}
	}
	return nil
}

func (b *Balancer) pass(c net.Conn) {
	defer func() { _ = c.Close() }()
	i := b.pick()
	if i == nil {
		return
	}
	out, err := net.Dial("tcp", i.caller)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(out, c)
		closeWrite(out)
		close(done)
	}()
	_, _ = io.Copy(c, out)
	closeWrite(c)
	<-done
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
