package jybackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

const (
	readBufferBytes = 4 << 10
	// maxStrayAnswers is the number of answers to other requests at which a connection is given up.
	maxStrayAnswers = 4
	// maxStrayBytes is the size of the body of such an answer at which a connection is given up.
	maxStrayBytes = 1 << 20
	// maxHeadBytes is the maximum size of an answer's head. maxInterimAnswers is the number of interim (1xx) answers to a request
	// at which a connection is given up.
	maxHeadBytes      = 64 << 10
	maxInterimAnswers = 8
	// keepAliveShare is the share of the timeout in the server's Keep-Alive header up to which an idle connection is used. Closer
	// to the timeout, the server may close it at any moment.
	keepAliveShare = 0.8
)

// Connection is one HTTP/1.1 connection to a backend server, in use by at most one request at a time.
type Connection struct {
	conn        net.Conn
	limit       *io.LimitedReader // limits the bytes of a head
	reader      *bufio.Reader
	lastAliveAt time.Time // when it last returned a complete answer, or was opened
	// maxIdle is the idle time to use, from the server's Keep-Alive header; 0 if there was none.
	maxIdle time.Duration
	// ended is set once the connection can't carry another request.
	ended bool
	// Reused says that the connection was taken from the pool's idle connections.
	Reused bool
}

func newConnection(conn net.Conn, now time.Time) *Connection {
	limit := &io.LimitedReader{R: conn}
	return &Connection{conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), lastAliveAt: now}
}

// ResponseMatcher reports whether a response belongs to the request.
type ResponseMatcher func(*http.Response) bool

// RoundTrip sends a request on the connection and returns its answer, whose body is not read yet. Answers that don't match are
// skipped; if matches is nil, all match. The caller must read the body to its end and pass the connection to Pool.Put, or else
// to Pool.Drop. If the request's context ends before the body does, only Drop is allowed. The error is that of the context, or
// of kind Lost.
func (c *Connection) RoundTrip(r *http.Request, matches ResponseMatcher) (*http.Response, error) {
	stop := context.AfterFunc(r.Context(), c.interrupt)
	if err := r.Write(c.conn); err != nil && !isClosedByPeer(err) {
		stop()
		return nil, c.lostError(r.Context(), err)
	}
	// A server may answer and close the connection before it has read the whole request, so the answer is read in spite of
	// the write error.
	resp, err := c.readAnswer(r, matches)
	if err != nil {
		stop()
		return nil, c.lostError(r.Context(), err)
	}
	c.applyKeepAlive(resp)
	resp.Body = &body{ReadCloser: resp.Body, stop: stop}
	return resp, nil
}

// interrupt makes current and later reads and writes fail.
func (c *Connection) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// lostError ends the use of the connection and returns the error for a failed exchange.
func (c *Connection) lostError(ctx context.Context, err error) error {
	c.ended = true
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return jyfault.New("exchange with backend server", Lost, "%w", err)
}

// readAnswer returns the first answer that matches, and discards those before it.
func (c *Connection) readAnswer(r *http.Request, matches ResponseMatcher) (*http.Response, error) {
	for range maxStrayAnswers {
		resp, err := c.readFinal(r)
		if err != nil {
			return nil, err
		}
		if matches == nil || matches(resp) {
			return resp, nil
		}
		if resp.Close {
			return nil, errStrayAnswer
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes); err != io.EOF {
			return nil, errStrayAnswer
		}
	}
	return nil, errStrayAnswer
}

var errStrayAnswer = errors.New("connection returned answers to other requests")

// readFinal skips interim (1xx) answers and returns the next final one, whose body is not read yet.
func (c *Connection) readFinal(r *http.Request) (*http.Response, error) {
	for range maxInterimAnswers {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// readHead reads one head of limited size, since a faulty server may send an endless one.
func (c *Connection) readHead(r *http.Request) (*http.Response, error) {
	c.limit.N = maxHeadBytes
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil && c.limit.N <= 0 {
		return nil, errHeadTooLarge
	}
	c.limit.N = math.MaxInt64
	return resp, err
}

var (
	errHeadTooLarge   = fmt.Errorf("head of the answer exceeds %d bytes", maxHeadBytes)
	errTooManyInterim = fmt.Errorf("%d or more interim answers", maxInterimAnswers)
)

// applyKeepAlive sets ended and maxIdle from the headers of an answer.
func (c *Connection) applyKeepAlive(resp *http.Response) {
	// A body of undeclared length ends where the connection is closed.
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		c.ended = true
	}
	for _, line := range resp.Header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				c.maxIdle = time.Duration(keepAliveShare * float64(seconds) * float64(time.Second))
			}
		}
	}
}

// isUsable reports whether the connection may carry another request after an idle time. maxIdle is the limit of the pool.
func (c *Connection) isUsable(idle, maxIdle time.Duration) bool {
	if c.maxIdle > 0 {
		maxIdle = min(maxIdle, c.maxIdle)
	}
	return !c.ended && idle <= maxIdle && c.reader.Buffered() == 0 && c.isOpenWithoutData()
}

// isOpenWithoutData reports whether the connection is open and has no unread bytes. Bytes that arrive while it is idle belong
// to no request.
func (c *Connection) isOpenWithoutData() bool {
	source, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// CloseAfterAnswer makes the pool close the connection when it is given back, in place of reusing it.
func (c *Connection) CloseAfterAnswer() { c.ended = true }

// Close closes the connection, which its pool still counts as open; Pool.Drop closes a connection and counts it as closed.
func (c *Connection) Close() {
	c.ended = true
	_ = c.conn.Close()
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// body stops watching the request's context at the first read error, which includes the end of the body.
type body struct {
	io.ReadCloser
	stop func() bool
	once sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.stop() })
	}
	return n, err
}
