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

// How long the list keeps requests: after several separate crashes, after fewer, and after an answer.
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

// RecordAnswer records that a backend server answered a request. A request that was suspected or blocked is taken off the list, and off
// those of all peers.
func (b *BlockList) RecordAnswer(f jyblock.Fingerprint) {
	if b.recordAnswer(f) {
		jylog.RequestUnblocked.Log(shortHex(f))
		go b.tellPeers(func(ctx context.Context, m jymember.Member) error {
			_, err := b.clients.At(m.Address).Unblock(ctx, connect.NewRequest(&jywire.UnblockRequest{Fingerprint: f[:]}))
			return err
		})
	}
}

func (b *BlockList) recordAnswer(f jyblock.Fingerprint) (cleared bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cleared = b.list.RecordAnswer(time.Now(), f)
	b.size.Store(int64(b.list.Len()))
	return cleared
}

// RecordCrash records that a backend server crashed while it ran a request, unless the request was answered recently. It
// reports the request to all peers, and returns when they have answered or the timeout has passed. A non-idempotent request is
// blocked at once.
func (b *BlockList) RecordCrash(f jyblock.Fingerprint, c jyblock.Crash, idempotent bool) {
	now := time.Now()
	b.mu.Lock()
	suspected := b.list.RecordCrash(now, f, c, idempotent)
	blocked := b.list.IsBlocked(now, f)
	crashes := b.list.Crashes(f)
	b.size.Store(int64(b.list.Len()))
	b.mu.Unlock()
	if blocked {
		jylog.RequestBlocked.Log(shortHex(f), serversOf(crashes))
	}
	if !suspected {
		return
	}
	message := encodeCrashes(f, crashes, blocked, now)
	b.tellPeers(func(ctx context.Context, m jymember.Member) error {
		_, err := b.clients.At(m.Address).Block(ctx, connect.NewRequest(message))
		return err
	})
}

// tellPeers makes a call to all peers, at most maxParallelReports at the same time, and waits for all answers or the timeout.
func (b *BlockList) tellPeers(call func(context.Context, jymember.Member) error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelReports)
	for _, m := range b.others() {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			// An error is ignored: a peer without the report finds out itself, by one more crash or an answer.
			_ = call(ctx, m)
		})
	}
	wg.Wait()
}

// HandleBlock merges the report of a suspect request from a peer.
func (b *BlockList) HandleBlock(
	_ context.Context, q *connect.Request[jywire.BlockRequest],
) (*connect.Response[jywire.BlockResponse], error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list.Merge(now, fingerprintOf(q.Msg.GetFingerprint()), decodeCrashes(q.Msg, now), q.Msg.GetBlocked())
	b.size.Store(int64(b.list.Len()))
	return connect.NewResponse(&jywire.BlockResponse{}), nil
}

// HandleUnblock takes a request off the list that a peer saw answered.
func (b *BlockList) HandleUnblock(
	_ context.Context, q *connect.Request[jywire.UnblockRequest],
) (*connect.Response[jywire.UnblockResponse], error) {
	b.recordAnswer(fingerprintOf(q.Msg.GetFingerprint()))
	return connect.NewResponse(&jywire.UnblockResponse{}), nil
}

// shortHex identifies a request in the log.
func shortHex(f jyblock.Fingerprint) string { return hex.EncodeToString(f[:8]) }
