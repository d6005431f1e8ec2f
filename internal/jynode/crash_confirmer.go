package jynode

import (
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyrelay"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// crashConfirmDelay is the time between a lost connection and the check of its server: a crashed server is not back so soon.
const crashConfirmDelay = 100 * time.Millisecond

// pathCheckServers is the number of other servers of which one must accept connections, so that a refused one is not put down to the path.
const pathCheckServers = 3

// crashConfirmer is a block list that suspects a request only if the server that ran it refuses connections while another server
// accepts them. A lost connection alone is no evidence against the request where servers drop connections before they answer, nor is
// a refused one where this instance is cut off. On an instance whose source is the store, its RecordCrash replaces that of
// BlockList: it confirms a crash first, and blocks a request, even a non-idempotent one, only after a second, separate crash.
type crashConfirmer struct {
	*jyrelay.BlockList
	node *Node
}

// RecordCrash checks the server in the background after crashConfirmDelay, so that the request does not wait for the check. It
// ignores servers that are not in the current state.
func (c crashConfirmer) RecordCrash(f jyblock.Fingerprint, crash jyblock.Crash, _ bool) {
	address, known := c.node.addressOf(jynote.ServerName(crash.Server))
	if !known {
		return
	}
	go func() {
		time.Sleep(crashConfirmDelay)
		if c.node.isDown(address) && c.node.reachesAnother(address) {
			// As if idempotent: the request is blocked only after a second crash, even if it may not be retried.
			c.BlockList.RecordCrash(f, crash, true)
		}
	}()
}

// reachesAnother reports whether a server at another address accepts connections.
func (n *Node) reachesAnother(address string) bool {
	servers := n.directory.Snapshot().State.BackendServers
	checked := 0
	for _, i := range rand.Perm(len(servers)) {
		if servers[i].Address == address {
			continue
		}
		if checked++; checked > pathCheckServers {
			return false
		}
		if n.accepts(servers[i].Address) {
			return true
		}
	}
	return false
}

// accepts reports whether a connection to the address can be opened.
func (n *Node) accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, n.settings.ConnectTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// addressOf returns the address of a backend server, or false if the current state does not contain the server.
func (n *Node) addressOf(name jynote.ServerName) (string, bool) {
	for _, b := range n.directory.Snapshot().State.BackendServers {
		if b.Name == name {
			return b.Address, true
		}
	}
	return "", false
}

// isDown reports whether the address refuses connections.
func (n *Node) isDown(address string) bool {
	conn, err := net.DialTimeout("tcp", address, n.settings.ConnectTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
