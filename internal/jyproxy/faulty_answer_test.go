package jyproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// The headers of the dialect of these tests, whose servers echo the id of each request.
const (
	idHeader        = "Echoed-Id"
	signatureHeader = "Signature"
	notRunHeader    = "Not-Run"
)

// rawServer answers the requests of each connection with the bytes that respond returns. n counts the requests of the connection from 1
// on. The connection is closed after an answer if keep is false.
func rawServer(t *testing.T, respond func(n int, r *http.Request) (raw string, keep bool)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, respond)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, respond func(n int, r *http.Request) (raw string, keep bool)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		raw, keep := respond(n, r)
		if _, err := io.WriteString(conn, raw); err != nil || !keep {
			return
		}
	}
}

// newRawProxy returns a proxy in front of servers at the addresses. With echoesIDs, servers echo the id of each request.
func newRawProxy(echoesIDs bool, addresses ...string) *jyproxy.Proxy {
	no := false
	service := newService("s")
	service.NotRunMarks = []jynote.Mark{{Header: notRunHeader}}
	state := jynote.State{
		Number: stateNumber, Services: []jynote.Service{service},
		Routes: []jynote.Route{{Name: "r", PathPrefix: "/", Service: "s", Idempotent: &no}},
	}
	for i, address := range addresses {
		b := newServer("s", &httptest.Server{URL: "http://" + address})
		b.Name = jynote.ServerName(fmt.Sprint("b-", i))
		state.BackendServers = append(state.BackendServers, b)
	}
	return newProxyOf(state, func(c *jyproxy.Config, _ *jyproxy.ForwarderConfig) {
		c.Dialect = jyproxy.DefaultDialect()
		if echoesIDs {
			c.Dialect.RequestIDHeader, c.Dialect.SignatureHeader = idHeader, signatureHeader
		}
	})
}

// sendOrder sends a non-idempotent request with an id to a proxy.
func sendOrder(p *jyproxy.Proxy, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/order", strings.NewReader("body"))
	r.Header.Set(idHeader, id)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

func refusalBytes(echoed string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + ": 1\r\n" + echoed + "Content-Length: 0\r\n\r\n"
}

func answerBytes(echoed string) string {
	return "HTTP/1.1 200 OK\r\n" + signatureHeader + ": s\r\n" + echoed + "Content-Length: 4\r\n\r\ndone"
}

// Guards against a refusal of an earlier request, sent once more on a kept connection, that is taken for the answer to a request which the
// server runs.
func TestEarlierRefusalThatIsSentOnceMoreDoesNotAnswerAnotherRequest(t *testing.T) {
	tests := map[string]struct {
		echoesIDs, refusalHasID bool
		// answers is set if the server's own answer follows the repeated refusal; otherwise the connection ends.
		answers bool
	}{
		"the refusal names its request":                       {true, true, true},
		"the refusal names its request, no answer follows":    {true, true, false},
		"the refusal names no request":                        {true, false, true},
		"the refusal names no request, no answer follows":     {true, false, false},
		"servers echo no ids":                                 {false, false, true},
		"servers echo no ids, no answer follows the repeated": {false, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			runs := map[string]int{}
			respond := func() func(int, *http.Request) (string, bool) {
				refusal := ""
				return func(n int, r *http.Request) (string, bool) {
					mu.Lock()
					defer mu.Unlock()
					echoed := ""
					if tt.echoesIDs {
						echoed = idHeader + ": " + r.Header.Get(idHeader) + "\r\n"
					}
					if n == 1 {
						refusal = refusalBytes("")
						if tt.refusalHasID {
							refusal = refusalBytes(echoed)
						}
						return refusal, true
					}
					runs[r.Header.Get(idHeader)]++
					if !tt.answers {
						return refusal, false
					}
					return refusal + answerBytes(echoed), true
				}
			}
			p := newRawProxy(tt.echoesIDs, rawServer(t, respond()), rawServer(t, respond()))
			for n := range 12 {
				id := fmt.Sprint("order-", n)
				w := sendOrder(p, id)
				mu.Lock()
				count := runs[id]
				mu.Unlock()
				assert.LessOrEqual(t, count, 1, "runs of %s", id)
				if count > 0 {
					assert.NotEqual(t, string(jyoutcome.NotRun), w.Header().Get(jyoutcome.Header), "%s ran", id)
				}
			}
		})
	}
}

// Guards against an answer whose head ends early, passed on as a success with an empty or short body.
func TestAnswerThatEndsEarlyIsNeverPassedOnAsASuccess(t *testing.T) {
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\n" + signatureHeader + ": s\r\n" + idHeader + ": order-1\r\nContent-Length: 10\r\n\r\n0123456789",
		"length first":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + signatureHeader + ": s\r\n" + idHeader + ": order-1\r\n\r\n0123456789",
		"in chunks":        "HTTP/1.1 200 OK\r\n" + signatureHeader + ": s\r\n" + idHeader + ": order-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\nX: y\r\n\r\n",
		"after an interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + signatureHeader + ": s\r\n" + idHeader + ": order-1\r\nContent-Length: 10\r\n\r\n0123456789",
		"bare line feeds":  "HTTP/1.1 200 OK\n" + signatureHeader + ": s\n" + idHeader + ": order-1\nContent-Length: 10\n\n0123456789",
	}
	for name, whole := range heads {
		for _, echoesIDs := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", ids echoed: ", echoesIDs), func(t *testing.T) {
				for end := range len(whole) {
					p := newRawProxy(echoesIDs, rawServer(t, func(int, *http.Request) (string, bool) { return whole[:end], false }))
					w := sendOrder(p, "order-1")
					require.Equal(t, http.StatusBadGateway, w.Code, "after %q: %s", whole[:end], w.Body)
				}
				p := newRawProxy(echoesIDs, rawServer(t, func(int, *http.Request) (string, bool) { return whole, false }))
				w := sendOrder(p, "order-1")
				require.Equal(t, http.StatusOK, w.Code)
				assert.Equal(t, "0123456789", w.Body.String())
			})
		}
	}
}

// Guards against an answer without a length whose head ends early: nothing but the head says whether it is complete.
func TestAnswerWithoutALengthWhoseHeadEndsEarlyIsNeverPassedOnAsASuccess(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + signatureHeader + ": s\r\n" + idHeader + ": order-1\r\nX-Note: abc\r\n\r\n"
	for _, echoesIDs := range []bool{true, false} {
		for end := range len(head) {
			p := newRawProxy(echoesIDs, rawServer(t, func(int, *http.Request) (string, bool) { return head[:end], false }))
			w := sendOrder(p, "order-1")
			require.Equal(t, http.StatusBadGateway, w.Code, "after %q: %s", head[:end], w.Body)
		}
	}
}
