package jybackend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

// scriptedPool returns a pool for a server that reads once from each connection, writes text, and closes it if closes is set.
func scriptedPool(t *testing.T, text string, closes bool) *jybackend.Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				_, _ = conn.Read(buffer)
				_, _ = io.WriteString(conn, text)
				if closes {
					_ = conn.Close()
				}
			}()
		}
	}()
	p := jybackend.NewPool(jybackend.PoolConfig{Address: listener.Addr().String(), ConnectTimeout: time.Second, MaxIdle: time.Minute})
	p.SetMaxOpen(4)
	return p
}

// exchange sends a request on a new connection and returns the body of the answer with id "a".
func exchange(t *testing.T, p *jybackend.Pool) (*jybackend.Connection, string, error) {
	conn, err := p.Open(t.Context(), time.Now())
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
	require.NoError(t, err)
	resp, err := conn.RoundTrip(req, func(r *http.Response) bool { return r.Header.Get("Id") == "a" })
	if err != nil {
		return conn, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return conn, string(body), err
}

const (
	complete = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	other    = "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 5\r\n\r\nother"
)

func TestRoundTripReturnsTheCompleteMatchingAnswer(t *testing.T) {
	tests := map[string]struct {
		text   string
		closes bool
		body   string
		fails  bool
		reused bool
	}{
		"a complete answer":                {text: complete, body: "ok", reused: true},
		"the answer to another request":    {text: other + complete, body: "ok", reused: true},
		"an interim answer":                {text: "HTTP/1.1 103 Early Hints\r\n\r\n" + complete, body: "ok", reused: true},
		"more bytes after the answer":      {text: complete + "more", body: "ok"},
		"a body without a declared length": {text: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok", closes: true, body: "ok"},
		"a body that ends early":           {text: strings.Replace(complete, "Length: 2", "Length: 9", 1), closes: true, fails: true},
		"bytes that are not HTTP":          {text: "what is this\r\n\r\n", fails: true},
		"a closed connection":              {closes: true, fails: true},
		"only answers to other requests":   {text: strings.Repeat(other, 9), fails: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := scriptedPool(t, tt.text, tt.closes)
			conn, body, err := exchange(t, p)
			if tt.fails {
				assert.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.body, body)
			p.Put(conn, time.Now())
			next, err := p.Get(t.Context(), time.Now(), time.Time{})
			require.NoError(t, err)
			assert.Equal(t, tt.reused, next.Reused)
		})
	}
}

func TestAConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	p := scriptedPool(t, complete, true)
	conn, _, err := exchange(t, p)
	require.NoError(t, err)
	p.Put(conn, time.Now())
	require.Eventually(t, func() bool {
		next, err := p.Get(t.Context(), time.Now(), time.Time{})
		if err != nil {
			return false
		}
		fresh := !next.Reused
		p.Put(next, time.Now())
		return fresh
	}, 10*time.Second, time.Millisecond)
}

func TestTheServersKeepAliveTimeoutIsRespected(t *testing.T) {
	p := scriptedPool(t, strings.Replace(complete, "Id: a", "Id: a\r\nKeep-Alive: timeout=10", 1), false)
	conn, _, err := exchange(t, p)
	require.NoError(t, err)
	now := time.Now()
	p.Put(conn, now)
	next, err := p.Get(t.Context(), now.Add(9*time.Second), time.Time{})
	require.NoError(t, err)
	assert.False(t, next.Reused, "the server may close it at any moment")
}

func TestRoundTripReturnsTheErrorOfTheRequestsContext(t *testing.T) {
	p := scriptedPool(t, "", false)
	conn, err := p.Open(t.Context(), time.Now())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
	require.NoError(t, err)
	cancel()
	_, err = conn.RoundTrip(req, nil)
	assert.True(t, errors.Is(err, context.Canceled))
}
