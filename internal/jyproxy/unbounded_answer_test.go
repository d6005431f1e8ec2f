package jyproxy_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unboundedAnswer returns a handler that sends first and then repeats more until the connection is closed. It counts the
// repeated bytes in sent.
func unboundedAnswer(t *testing.T, first, more string, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if !assert.NoError(t, err) {
			return
		}
		defer func() { _ = conn.Close() }()
		sendUnbounded(conn, first, more, sent)
	}
}

func sendUnbounded(conn net.Conn, first, more string, sent *atomic.Int64) {
	const repeats = 1000
	if _, err := io.WriteString(conn, first); err != nil {
		return
	}
	block := []byte(strings.Repeat(more, repeats))
	for {
		n, err := conn.Write(block)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func TestUnboundedAnswerIsTruncatedAndNeverPassedOnAsComplete(t *testing.T) {
	// Allows for the socket buffers in addition to the bytes that are read.
	const maxSentBytes = 32 << 20
	tests := map[string]struct {
		first, more string
		// isStream is set if the head is valid, so that the caller may receive part of the body.
		isStream bool
	}{
		"an unbounded header line":  {first: "HTTP/1.1 200 OK\r\nX: ", more: "a"},
		"unbounded header lines":    {first: "HTTP/1.1 200 OK\r\n", more: "X: a\r\n"},
		"an unbounded status line":  {more: "z"},
		"unbounded empty lines":     {more: "\r\n"},
		"unbounded interim answers": {more: "HTTP/1.1 100 Continue\r\n\r\n"},
		"a body without a length":   {first: "HTTP/1.1 200 OK\r\n\r\n", more: "body", isStream: true},
		"a chunked body":            {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", more: "4\r\nbody\r\n", isStream: true},
		"a chunk size":              {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", more: "0"},
		"a trailer":                 {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", more: "X: a\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			proxy, _ := start(t, unboundedAnswer(t, tt.first, tt.more, &sent))
			resp, err := http.Post(proxy+"/x", "text/plain", http.NoBody)
			if tt.isStream {
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.Error(t, err, "the caller must see that the answer is truncated")
			} else {
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadGateway, resp.StatusCode, "aborted for its size, not for the deadline")
			}
			require.NoError(t, resp.Body.Close())
			assert.Less(t, sent.Load(), int64(maxSentBytes))
		})
	}
}
