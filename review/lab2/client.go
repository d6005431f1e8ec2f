//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	connectTimeout = time.Second
	budget         = 2 * time.Second
)

// request is a client's request.
type request struct {
	id, method, target string
	body               string
	isChunked          bool
	cookie             string // empty for none
}

// chunkBytes is the size of the chunks of a body.
const chunkBytes = 8 << 10

// text returns the request as it is sent.
func (r request) text() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\n", r.method, r.target, host, r.id, budget.Milliseconds())
	if r.cookie != "" {
		head += "Cookie: " + r.cookie + "\r\n"
	}
	switch {
	case r.body == "":
		return head + "\r\n"
	case !r.isChunked:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(r.body), r.body)
	}
	var b strings.Builder
	b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := r.body; rest != ""; {
		n := min(chunkBytes, len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// answer is what a client got.
type answer struct {
	status          int
	signature, body string
	isLeaving       bool // the server said that it leaves
	err             error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	leaving := ""
	if a.isLeaving {
		leaving = ", Server-Leaving"
	}
	return fmt.Sprintf("status %d, signature %q, body %q%s", a.status, a.signature, strings.TrimSpace(a.body), leaving)
}

// send sends a request to an instance on a connection of its own.
func (in *instance) send(r request) answer {
	conn, err := net.DialTimeout("tcp", in.caller, connectTimeout)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * budget))
	// A write error may follow an early answer, which is read in spite of it.
	_, _ = io.WriteString(conn, r.text())
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), body: string(body),
		isLeaving: resp.Header.Get("Server-Leaving") == "1", err: err,
	}
}
