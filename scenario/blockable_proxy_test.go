package scenario_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cut passes the connections of other instances to an instance, until it is on: then nothing passes any more in the
// direction of the instance, on old connections and on new ones, and no connection is closed.
type cut struct {
	on atomic.Bool
	to string
}

func newCut(t testing.TB, address, to string) *cut {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	c := &cut{to: to}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go c.pass(in)
		}
	}()
	return c
}

func (c *cut) pass(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		_, _ = io.Copy(in, out)
		_ = in.Close()
	}()
	_, _ = io.Copy(gate{out, c}, in)
}

// gate holds back what is written while the cut is on.
type gate struct {
	io.Writer
	cut *cut
}

// Write waits until the cut is off.
func (g gate) Write(b []byte) (int, error) {
	for g.cut.on.Load() {
		time.Sleep(pollInterval)
	}
	return g.Writer.Write(b)
}
