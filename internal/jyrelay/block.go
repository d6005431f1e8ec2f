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

// How long the list keeps requests: after crashes of several backend servers, after one crash, and after an answer.
const (
	multiCrashTTL  = 5 * time.Minute
	singleCrashTTL = time.Minute
	answeredTTL    = 10 * time.Second
)

// maxParallelReports is the maximum number of peers to which a suspect request is reported at the same time.
const maxParallelReports = 64

// BlockList holds the requests that are suspected of crashing backend servers, or blocked for it, and reports them to peers. It
// is safe for concurrent use.
type BlockList struct {
	clients *jypeer.Clients
	others  func() []jymember.Member
	timeout time.Duration
	size    atomic.Int64 // length of the list, read without mu
	mu      sync.Mutex
	list    *jyblock.List
}

// NewBlockList returns an empty list. others returns the instances to which suspect requests are reported, and timeout bounds
// one round of reports.
func NewBlockList(c *jypeer.Clients, others func() []jymember.Member, timeout time.Duration) *BlockList {
	return &BlockList{clients: c, others: others, timeout: timeout, list: jyblock.New(jyblock.Config{
		MultiCrashTTL: multiCrashTTL, SingleCrashTTL: singleCrashTTL, AnsweredTTL: answeredTTL,
	})}
}

// IsEmpty reports whether no request is suspected or blocked.
func (b *BlockList) IsEmpty() bool { return b.size.Load() == 0 }

// IsBlocked reports whether a request must not run.
func (b *BlockList) IsBlocked(f jyblock.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list.IsBlocked(time.Now(), f)
}

// RecordAnswer removes a request from the list because a backend server answered it, unless the request is blocked.
func (b *BlockList) RecordAnswer(f jyblock.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.RecordAnswer(time.Now(), f)
	b.size.Store(int64(b.list.Len()))
}

// RecordCrash records that a backend server crashed while it ran a request, unless the request was answered recently. It
// reports the request to all peers, and returns when they have answered or the timeout has passed. A non-idempotent request is
// blocked at once.
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
		b.reportToPeers(f, servers, blocked)
	}
}

// reportToPeers sends the report to at most maxParallelReports peers at the same time, and waits for all answers or the timeout.
func (b *BlockList) reportToPeers(f jyblock.Fingerprint, servers []jyblock.ServerName, blocked bool) {
	message := &jywire.BlockRequest{Fingerprint: f[:], Blocked: blocked}
	for _, s := range servers {
		message.Servers = append(message.Servers, string(s))
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelReports)
	for _, m := range b.others() {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			// An error is ignored: a peer without the report may lose one more server to the request, and suspects it then.
			_, _ = b.clients.At(m.Address).Block(ctx, connect.NewRequest(message))
		})
	}
	wg.Wait()
}

// HandleBlock merges the report of a suspect request from a peer.
func (b *BlockList) HandleBlock(
	_ context.Context, q *connect.Request[jywire.BlockRequest],
) (*connect.Response[jywire.BlockResponse], error) {
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
