package jynode

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyrelay"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// crashConfirmDelay is the time between a lost connection and the check of its server: a crashed server is not back so soon.
const crashConfirmDelay = 100 * time.Millisecond

// crashConfirmer is a block list that suspects a request only if the server that ran it refuses connections. A lost connection
// alone is no evidence against the request where servers drop connections before they answer. On an instance whose source is
// the store, its RecordCrash replaces that of BlockList: it confirms a crash first, and blocks a request, even a non-idempotent
// one, only after a second server has crashed.
type crashConfirmer struct {
	*jyrelay.BlockList
	node *Node
}

// RecordCrash checks the server in the background after crashConfirmDelay, so that the request does not wait for the check. It
// ignores servers that are not in the current state.
func (c crashConfirmer) RecordCrash(f jyblock.Fingerprint, server jyblock.ServerName, _ bool) {
	address, known := c.node.addressOf(jynote.ServerName(server))
	if !known {
		return
	}
	go func() {
		time.Sleep(crashConfirmDelay)
		if c.node.isDown(address) {
			// As if idempotent: the request is blocked only after a second server crashed, even if it may not be retried.
			c.BlockList.RecordCrash(f, server, true)
		}
	}()
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
