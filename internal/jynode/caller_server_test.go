package jynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pausingListener accepts connections whose next read, once armed, is held back after the bytes have left the network.
type pausingListener struct {
	net.Listener
	armed  atomic.Bool
	read   chan struct{} // closed when a read is held back
	resume chan struct{} // ends the pause
	closed chan struct{} // closed with the connection that is held back
}

func newPausingListener(t *testing.T) *pausingListener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &pausingListener{Listener: inner, read: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{})}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConnection{Conn: c, listener: l}, nil
}

type pausingConnection struct {
	net.Conn
	listener *pausingListener
	isHeld   atomic.Bool
}

func (c *pausingConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.armed.CompareAndSwap(true, false) {
		c.isHeld.Store(true)
		close(c.listener.read)
		<-c.listener.resume
	}
	return n, err
}

func (c *pausingConnection) Close() error {
	if c.isHeld.CompareAndSwap(true, false) {
		close(c.listener.closed)
	}
	return c.Conn.Close()
}

// runCounter is a handler that counts the requests that run.
type runCounter struct{ runs atomic.Int64 }

func (r *runCounter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.runs.Add(1)
	_, _ = w.Write([]byte("done"))
}

// newCaller returns a client that keeps its connections and never repeats a request.
func newCaller(t *testing.T, usesHTTP2 bool) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!usesHTTP2)
	protocols.SetUnencryptedHTTP2(usesHTTP2)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// post sends a non-idempotent request and reports whether its whole answer arrived.
func post(caller *http.Client, address net.Addr) (*http.Response, bool) {
	resp, err := caller.Post("http://"+address.String()+"/order", "text/plain", nil)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	body := make([]byte, len("done"))
	n, _ := resp.Body.Read(body)
	return resp, resp.StatusCode == http.StatusOK && n == len(body)
}

// Guards against a stop that closes a kept connection on which a request was just read, which then runs without an answer.
func TestRequestThatIsReadWhileTheInstanceStopsRunsOnlyIfItIsAnswered(t *testing.T) {
	tests := map[string]struct {
		stop         func(*callerServer)
		wantAnswered bool
	}{
		"the instance drains":     {func(c *callerServer) { c.drain() }, true},
		"the instance shuts down": {func(c *callerServer) { c.drain(); go c.shutDown(context.Background()) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			listener, handler := newPausingListener(t), &runCounter{}
			server := newCallerServerAt(listener, handler)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = server.Run(ctx) }()
			caller := newCaller(t, false)
			_, first := post(caller, listener.Addr())
			require.True(t, first)

			listener.armed.Store(true)
			answered := make(chan bool)
			go func() {
				resp, ok := post(caller, listener.Addr())
				assert.Equal(t, ok, resp != nil && resp.Close, "the answer is the last one of its connection")
				answered <- ok
			}()
			<-listener.read
			tt.stop(server)
			if !tt.wantAnswered {
				<-listener.closed
			}
			close(listener.resume)
			isAnswered := <-answered
			assert.Equal(t, tt.wantAnswered, isAnswered)
			answers := int64(1)
			if isAnswered {
				answers++
			}
			assert.Equal(t, answers, handler.runs.Load(), "requests that ran, and answers")
		})
	}
}

// Guards against requests that run without an answer when an instance stops under load.
func TestEveryRequestThatRunsIsAnsweredWhenTheInstanceStopsUnderLoad(t *testing.T) {
	const callers = 32
	tests := map[string]struct {
		usesHTTP2 bool
		stops     int
	}{
		"HTTP/1.1": {false, 24},
		"HTTP/2":   {true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for stop := range tt.stops {
				runs, answers := stopUnderLoad(t, callers, tt.usesHTTP2)
				require.Equal(t, runs, answers, "requests that ran, and answers, in stop %d", stop)
			}
		})
	}
}

// stopUnderLoad stops a server to which callers send requests one after the other, until these fail. It returns the number of requests
// that ran, and of those that were answered.
func stopUnderLoad(t *testing.T, callers int, usesHTTP2 bool) (runs, answers int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &runCounter{}
	server := newCallerServerAt(listener, handler)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- server.Run(ctx) }()
	var answered atomic.Int64
	var done sync.WaitGroup
	for range callers {
		caller := newCaller(t, usesHTTP2)
		done.Go(func() {
			for {
				if _, ok := post(caller, listener.Addr()); !ok {
					return
				}
				answered.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > int64(10*callers) }, 10*time.Second, time.Millisecond)
	server.drain()
	server.shutDown(ctx)
	done.Wait()
	cancel()
	require.NoError(t, <-ended)
	return handler.runs.Load(), answered.Load()
}

// Guards against a stop that waits for callers which have sent nothing, or only a part of a request.
func TestStopDoesNotWaitForRequestsThatAreNotWhole(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "part of a head": "POST /order HTTP/1.1\r\nHost: a\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := newCallerServerAt(listener, &runCounter{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = server.Run(ctx) }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = caller.Close() }()
			_, err = caller.Write([]byte(sent))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(server.connections.list()) == 1 }, 10*time.Second, time.Millisecond)
			server.drain()
			const longestDeadline = 30 * time.Second
			stopped, stop := context.WithTimeout(ctx, longestDeadline)
			defer stop()
			server.shutDown(stopped)
			assert.NoError(t, stopped.Err(), "the stop took as long as a request may")
			assert.Empty(t, server.connections.list())
		})
	}
}
