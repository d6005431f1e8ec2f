//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a server began to work on, as it arrived.
type run struct {
	from                                    netip.Addr // of the machine that sent it
	server, id, method, target, requestHost string
	bodyBytes                               int
	at                                      time.Time
}

// server is a sound backend server of the platform.
type server struct {
	id, service string
	born        int64
	sequence    int
	isLeaving   atomic.Bool
	delay       time.Duration // of each answer
	listener    *net.TCPListener

	mu          sync.Mutex
	runs        []run
	connections map[net.Conn]bool
	// onRun is called with each request that the server runs and its body; if it returns true, the server crashes.
	onRun func(s *server, r *http.Request, body []byte) (crashes bool)
}

// startServer starts a server and registers it.
func (l *lab) startServer(id, service string, delay time.Duration) (*server, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, born: time.Now().UnixMilli(), delay: delay, listener: listener, connections: map[net.Conn]bool{},
	}
	l.servers = append(l.servers, s)
	go s.accept()
	l.register(s)
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() { _ = s.listener.Close() }

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// cutOff ignores a client's attempts to connect, and resets its connections.
func (s *server) cutOff(client netip.Addr) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.connections {
		if sourceOf(conn) == client {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
	return ignore(s.listener, client)
}

func sourceOf(conn net.Conn) netip.Addr {
	return conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// leave makes the server say that it leaves, in its entry and in all its answers. It goes on serving.
func (l *lab) leave(s *server) {
	s.isLeaving.Store(true)
	l.register(s)
}

// state returns the state that the server's entry tells.
func (s *server) state() string {
	if s.isLeaving.Load() {
		return "draining"
	}
	return "ready"
}

// crash ends the server's process: it refuses and resets connections, and its entry stays. After downTime it is back at its address, with a
// new life under the id that it had.
func (l *lab) crash(s *server, downTime time.Duration) {
	address := s.address()
	s.close()
	s.mu.Lock()
	for conn := range s.connections {
		reset(conn)
	}
	s.mu.Unlock()
	time.AfterFunc(downTime, func() {
		listener, err := listenAt(address)
		if err != nil {
			l.note("%s is not back: %v", s.id, err)
			return
		}
		s.listener, s.born, s.sequence = listener, time.Now().UnixMilli(), 0
		go s.accept()
		l.register(s)
	})
}

// endCut ends what cutOff did.
func (s *server) endCut() error { return ignoreNobody(s.listener) }

// serve answers the requests of one connection, one after the other.
func (s *server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		text := s.answer(r, sourceOf(conn), body)
		if _, err := io.WriteString(conn, text); text == "" || err != nil {
			return
		}
	}
}

// answer runs a request, unless another server is expected, and returns the answer; it is empty if the server crashes.
func (s *server) answer(r *http.Request, from netip.Addr, body []byte) string {
	if r.URL.Path == "/health" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
	}
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs = append(s.runs, run{
		from: from, server: s.id, id: id, method: r.Method, target: r.RequestURI, requestHost: r.Host, bodyBytes: len(body), at: time.Now(),
	})
	s.mu.Unlock()
	if s.onRun != nil && s.onRun(s, r, body) {
		return ""
	}
	time.Sleep(s.delay)
	text := "answer of " + s.id + " to " + id
	leaving := ""
	if s.isLeaving.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: signature-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, id, leaving, len(text), text)
}

// runs returns what all servers ran.
func (l *lab) runs() []run {
	var out []run
	for _, s := range l.servers {
		s.mu.Lock()
		out = append(out, s.runs...)
		s.mu.Unlock()
	}
	return out
}
