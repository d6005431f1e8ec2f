package jyrelay

import (
	"context"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// Times of the list of blocked requests.
const (
	blockMemory      = 5 * time.Minute
	blockShortMemory = time.Minute
	blockRecentTime  = 10 * time.Second
)

// tellAtOnce bounds the peers that are told of a blocked request at the same time.
const tellAtOnce = 64

// BlockList holds the requests that end backend servers, and tells peers of them.
type BlockList struct {
	clients *jypeer.Clients
	others  func() []jymember.Member
	timeout time.Duration
	size    atomic.Int64
	mu      sync.Mutex
	list    *jyblock.List
}

// NewBlockList returns an empty list; others returns the instances to tell.
func NewBlockList(c *jypeer.Clients, others func() []jymember.Member, timeout time.Duration) *BlockList {
	return &BlockList{clients: c, others: others, timeout: timeout, list: jyblock.New(jyblock.Config{
		MultiCrashTTL: blockMemory, SingleCrashTTL: blockShortMemory, AnsweredTTL: blockRecentTime,
	})}
}

// IsEmpty reports whether no request is under suspicion.
func (b *BlockList) IsEmpty() bool { return b.size.Load() == 0 }

// IsBlocked reports whether a request must not run.
func (b *BlockList) IsBlocked(f jyblock.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.IsBlocked(time.Now(), f)
}

// RecordAnswer clears a request that was answered.
func (b *BlockList) RecordAnswer(f jyblock.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.RecordAnswer(time.Now(), f)
	b.size.Store(int64(b.list.Len()))
}

// RecordCrash records that a backend server ended under a request, and returns when all peers that answer in time know it.
func (b *BlockList) RecordCrash(f jyblock.Fingerprint, server jyblock.ServerName, idempotent bool) {
	b.mu.Lock()
	suspected := b.list.RecordCrash(time.Now(), f, server, idempotent)
	blocked := b.list.IsBlocked(time.Now(), f)
	servers := b.list.CrashedServers(f)
	b.size.Store(int64(b.list.Len()))
	b.mu.Unlock()
	if blocked {
		jylog.RequestBlocked.Log(hex.EncodeToString(f[:8]), servers)
	}
	if suspected {
		b.tell(f, servers, blocked)
	}
}

func (b *BlockList) tell(f jyblock.Fingerprint, servers []jyblock.ServerName, blocked bool) {
	message := &jywire.BlockRequest{Fingerprint: f[:], Blocked: blocked}
	for _, s := range servers {
		message.Servers = append(message.Servers, string(s))
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var wg sync.WaitGroup
	places := make(chan struct{}, tellAtOnce)
	for _, m := range b.others() {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			// A peer that does not hear in time may lose one more server to the request, and then knows.
			_, _ = b.clients.At(m.Address).Block(ctx, connect.NewRequest(message))
		})
	}
	wg.Wait()
}

// HandleBlock takes a peer's word about a request.
func (b *BlockList) HandleBlock(_ context.Context, q *connect.Request[jywire.BlockRequest]) (*connect.Response[jywire.BlockResponse], error) {
	var f jyblock.Fingerprint
	copy(f[:], q.Msg.GetFingerprint())
	servers := make([]jyblock.ServerName, 0, len(q.Msg.GetServers()))
	for _, s := range q.Msg.GetServers() {
		servers = append(servers, jyblock.ServerName(s))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.Merge(time.Now(), f, servers, q.Msg.GetBlocked())
	b.size.Store(int64(b.list.Len()))
	return connect.NewResponse(&jywire.BlockResponse{}), nil
}
