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
	bufferBytes = 4 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are read past before a connection is given up.
	maxStrayAnswers = 4
	// maxStrayBytes bounds the body of one such answer.
	maxStrayBytes = 1 << 20
	// maxHeadBytes bounds the head of an answer, and maxInterimAnswers the interim answers before it.
	maxHeadBytes      = 64 << 10
	maxInterimAnswers = 8
	// keepAliveMargin is the share of the server's stated idle time for which a connection is used.
	keepAliveMargin = 0.8
)

// Connection is one connection, in use by at most one request.
type Connection struct {
	conn   net.Conn
	limit  *io.LimitedReader // what may still be read of a head
	reader *bufio.Reader
	proof  time.Time // when it last brought a whole answer, or was opened
	// maxIdle is how long the server keeps the connection, by its own word; 0 where it said nothing.
	maxIdle time.Duration
	// ended is set once the connection can carry no other request.
	ended  bool
	Reused bool
}

func newConnection(conn net.Conn, now time.Time) *Connection {
	limit := &io.LimitedReader{R: conn}
	return &Connection{conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, bufferBytes), proof: now}
}

// ResponseMatcher reports whether a response belongs to the request; other responses on the connection are read past.
type ResponseMatcher func(*http.Response) bool

// RoundTrip sends a request on the connection and returns the head of its answer; the connection ends with the request's
// context, and the body must be read to its end or the connection dropped.
func (c *Connection) RoundTrip(r *http.Request, answers ResponseMatcher) (*http.Response, error) {
	stop := context.AfterFunc(r.Context(), c.interrupt)
	if err := r.Write(c.conn); err != nil && !isEnded(err) {
		stop()
		return nil, c.lost(r.Context(), err)
	}
	// A server may answer and close before it has read all of the request: the answer is worth more than the error.
	resp, err := c.readAnswer(r, answers)
	if err != nil {
		stop()
		return nil, c.lost(r.Context(), err)
	}
	c.noteKeepAlive(resp)
	resp.Body = &body{ReadCloser: resp.Body, stop: stop}
	return resp, nil
}

func (c *Connection) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

func (c *Connection) lost(ctx context.Context, err error) error {
	c.ended = true
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return jyfault.New("exchange with backend server", Lost, "%w", err)
}

func (c *Connection) readAnswer(r *http.Request, answers ResponseMatcher) (*http.Response, error) {
	for range maxStrayAnswers {
		resp, err := c.readFinal(r)
		if err != nil {
			return nil, err
		}
		if answers == nil || answers(resp) {
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

var errStrayAnswer = errors.New("answers to other requests on the connection")

// readFinal reads past interim answers.
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
	return nil, errManyInterim
}

// readHead reads one head, which a server in fault may send without end.
func (c *Connection) readHead(r *http.Request) (*http.Response, error) {
	c.limit.N = maxHeadBytes
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil && c.limit.N <= 0 {
		return nil, errLongHead
	}
	c.limit.N = math.MaxInt64
	return resp, err
}

var (
	errLongHead    = fmt.Errorf("the head of the answer is over %d bytes", maxHeadBytes)
	errManyInterim = fmt.Errorf("over %d interim answers", maxInterimAnswers)
)

func (c *Connection) noteKeepAlive(resp *http.Response) {
	// A body without a length ends with the connection.
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		c.ended = true
	}
	for _, line := range resp.Header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
				c.maxIdle = time.Duration(keepAliveMargin * float64(seconds) * float64(time.Second))
			}
		}
	}
}

// isUsable reports whether the connection may carry another request after the idle time.
func (c *Connection) isUsable(idle, maxIdle time.Duration) bool {
	if c.maxIdle > 0 {
		maxIdle = min(maxIdle, c.maxIdle)
	}
	return !c.ended && idle <= maxIdle && c.reader.Buffered() == 0 && c.isQuiet()
}

// isQuiet reports whether the connection is open and has brought nothing: bytes that nobody asked for belong to no request.
func (c *Connection) isQuiet() bool {
	source, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Close closes the connection.
func (c *Connection) Close() {
	c.ended = true
	_ = c.conn.Close()
}

func isEnded(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// body stops watching the request's context once the body was read.
type body struct {
	io.ReadCloser
	stop func() bool
	once sync.Once
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.stop() })
	}
	return n, err
}
