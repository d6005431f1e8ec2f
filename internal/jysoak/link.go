package jysoak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// linkMode is what a link does with the bytes that it carries.
type linkMode int

const (
	modeOpen    linkMode = iota // bytes are forwarded
	modeDelayed                 // bytes are forwarded linkDelay late
	modeReset                   // connections are reset, new ones too
	modeOneWay                  // bytes reach the target, those from the target are dropped
	modeSilent                  // bytes are dropped in both directions, connections stay open
)

const (
	linkDelay       = 300 * time.Millisecond
	linkBufferBytes = 16 << 10 // read from a connection at a time
)

// link is a TCP proxy on loopback that forwards connections to one address and can fail.
type link struct {
	listener    *net.TCPListener
	target      string
	mu          sync.Mutex
	mode        linkMode
	connections map[net.Conn]netip.Addr // open connections of both sides, with the IP address of the client
	cuts        map[netip.Addr]cutMode  // by the IP address of the clients that are cut off
}

// newLink starts a link to an address. Its errors are of kind NotStarted.
func newLink(target string) (*link, error) {
	// A listener for multipath TCP, the default, takes no filter.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, jyfault.New("open link", NotStarted, "%w", err)
	}
	out := &link{listener: l.(*net.TCPListener), target: target, connections: map[net.Conn]netip.Addr{}, cuts: map[netip.Addr]cutMode{}}
	go out.accept()
	return out, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// close stops listening and resets all connections.
func (l *link) close() {
	_ = l.listener.Close()
	l.setMode(modeReset)
}

// setMode changes the mode; reset also resets all connections.
func (l *link) setMode(m linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m != modeReset {
		return
	}
	for c := range l.connections {
		resetConnection(c)
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// accept serves connections until the listener is closed.
func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.currentMode() == modeReset {
			resetConnection(client)
			continue
		}
		go l.serve(client)
	}
}

// serve connects a client to the target and forwards bytes until either side closes.
func (l *link) serve(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		resetConnection(client)
		return
	}
	source := sourceOf(client)
	l.track(source, client, server)
	go l.forward(source, server, client, func(m linkMode) bool { return m == modeSilent })
	l.forward(source, client, server, func(m linkMode) bool { return m == modeSilent || m == modeOneWay })
}

func sourceOf(client net.Conn) netip.Addr {
	return client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

func (l *link) track(source netip.Addr, list ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range list {
		l.connections[c] = source
	}
}

// modeFor returns the mode for the connections of a client.
func (l *link) modeFor(source netip.Addr) linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts[source] == cutSilent {
		return modeSilent
	}
	return l.mode
}

// forward copies bytes until either connection is closed. Dropped bytes are read but not written.
func (l *link) forward(source netip.Addr, to, from net.Conn, isDropped func(linkMode) bool) {
	defer l.closeAll(to, from)
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		m := l.modeFor(source)
		if m == modeDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && !isDropped(m) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && isDropped(m) {
			// The end of the stream is held back as well, until bytes are forwarded again.
			l.waitWhileDropping(source, isDropped)
		}
		if err != nil {
			return
		}
	}
}

func (l *link) waitWhileDropping(source netip.Addr, isDropped func(linkMode) bool) {
	for isDropped(l.modeFor(source)) {
		time.Sleep(linkDelay / 10)
	}
}

func (l *link) closeAll(list ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range list {
		delete(l.connections, c)
		_ = c.Close()
	}
}
