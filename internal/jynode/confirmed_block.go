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

// confirmDelay is how long after a lost connection a server is looked at: one that ended is not back so soon.
const confirmDelay = 100 * time.Millisecond

// confirmedBlock suspects a request only where the server that ran it is really down: where servers lose answers, a lost
// connection alone says nothing of the request.
type confirmedBlock struct {
	*jyrelay.BlockList
	node *Node
}

// RecordCrash looks at the server shortly after, and does not make the request wait for it.
func (b confirmedBlock) RecordCrash(f jyblock.Fingerprint, server jyblock.ServerName, _ bool) {
	address, known := b.node.addressOf(jynote.ServerName(server))
	if !known {
		return
	}
	go func() {
		time.Sleep(confirmDelay)
		if b.node.isDown(address) {
			// A second server must end before the request is blocked, also where it may run once only.
			b.BlockList.RecordCrash(f, server, true)
		}
	}()
}

func (n *Node) addressOf(name jynote.ServerName) (string, bool) {
	for _, b := range n.directory.Snapshot().State.BackendServers {
		if b.Name == name {
			return b.Address, true
		}
	}
	return "", false
}

// isDown reports whether nothing listens at the address.
func (n *Node) isDown(address string) bool {
	conn, err := net.DialTimeout("tcp", address, n.settings.ConnectTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
