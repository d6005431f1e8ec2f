package jysoak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// mode is how a link treats the bytes that pass.
type mode int

const (
	open mode = iota
	delayed
	reset
	oneWay // bytes reach the far end, answers are lost
	silent // bytes are lost in both directions, connections stay
)

const (
	linkDelay  = 300 * time.Millisecond
	linkBuffer = 16 << 10
)

// link is a TCP proxy on loopback, between those that connect to it and one address.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]bool
}

// newLink returns a link to an address; its errors are of kind NotStarted.
func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, jyfault.New("open link", NotStarted, "%w", err)
	}
	out := &link{listener: l, to: to, conns: map[net.Conn]bool{}}
	go out.accept()
	return out, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() {
	_ = l.listener.Close()
	l.set(reset)
}

// set changes how bytes are treated; reset also ends all connections.
func (l *link) set(m mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m != reset {
		return
	}
	for c := range l.conns {
		hangUp(c)
	}
}

// hangUp ends a connection with a reset.
func hangUp(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) now() mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.now() == reset {
			hangUp(near)
			continue
		}
		go l.join(near)
	}
}

func (l *link) join(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		hangUp(near)
		return
	}
	l.keep(near, far)
	go l.pass(far, near, func(m mode) bool { return m == silent })
	l.pass(near, far, func(m mode) bool { return m == silent || m == oneWay })
}

func (l *link) keep(list ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range list {
		l.conns[c] = true
	}
}

// pass copies bytes until either end is closed; those that are lost are read and dropped.
func (l *link) pass(to, from net.Conn, isLost func(mode) bool) {
	defer l.drop(to, from)
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		m := l.now()
		if m == delayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && !isLost(m) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && isLost(m) {
			// The end does not arrive either.
			l.waitWhile(isLost)
		}
		if err != nil {
			return
		}
	}
}

func (l *link) waitWhile(isLost func(mode) bool) {
	for isLost(l.now()) {
		time.Sleep(linkDelay / 10)
	}
}

func (l *link) drop(list ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range list {
		delete(l.conns, c)
		_ = c.Close()
	}
}
