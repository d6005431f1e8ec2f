//go:build review2

package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// retransmission is how late a lost packet arrives, with all that follows it: the least time after which TCP sends it again.
const retransmission = 200 * time.Millisecond

// link is a TCP proxy to one address. While it is cut it resets its connections, and new ones too. While it is lossy it loses packets: what
// it reads at a time is one.
type link struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	isCut       bool
	lossShare   float64
	connections map[net.Conn]bool
}

// newLink starts a link at a free port of an IP address.
func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	k := &link{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.cut(true)
}

// cut cuts the link, or ends that.
func (k *link) cut(isCut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = isCut
	if !isCut {
		return
	}
	for conn := range k.connections {
		reset(conn)
	}
}

// lose makes the link lose this share of the packets, in both directions.
func (k *link) lose(share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lossShare = share
}

// isLost reports whether a packet is lost.
func (k *link) isLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rand.Float64() < k.lossShare
}

func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

func (k *link) accept() {
	for {
		client, err := k.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", k.target)
		if err != nil || !k.add(client, server) {
			reset(client)
			continue
		}
		go k.copy(client, server)
		go k.copy(server, client)
	}
}

// add adds connections, and returns false if the link is cut.
func (k *link) add(client, server net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isCut {
		_ = server.Close()
		return false
	}
	k.connections[client], k.connections[server] = true, true
	return true
}

// packetBytes is the largest part that is read at a time.
const packetBytes = 1400

// copy passes bytes on until either connection ends.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, packetBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && k.isLost() {
			time.Sleep(retransmission)
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, conn := range []net.Conn{to, from} {
		delete(k.connections, conn)
		_ = conn.Close()
	}
}
