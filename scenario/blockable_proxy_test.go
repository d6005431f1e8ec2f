package scenario_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockableProxy is a TCP proxy in front of an instance's peer address. While it is blocked, no bytes reach the instance, on old
// connections and on new ones, and no connection is closed.
type blockableProxy struct {
	blocked atomic.Bool
	target  string
}

func newBlockableProxy(t testing.TB, address, target string) *blockableProxy {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &blockableProxy{target: target}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(in)
		}
	}()
	return p
}

func (p *blockableProxy) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		_, _ = io.Copy(in, out)
		_ = in.Close()
	}()
	_, _ = io.Copy(blockableWriter{out, p}, in)
}

// blockableWriter delays writes while the proxy is blocked.
type blockableWriter struct {
	io.Writer
	proxy *blockableProxy
}

// Write waits until the proxy is unblocked, then writes b.
func (w blockableWriter) Write(b []byte) (int, error) {
	for w.proxy.blocked.Load() {
		time.Sleep(pollInterval)
	}
	return w.Writer.Write(b)
}
