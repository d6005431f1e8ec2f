package jyproxy

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

// exchange is a connection and the head of the answer received on it.
type exchange struct {
	connection *jybackend.Connection
	response   *http.Response
}

// roundTripHedged sends the request on conn under firstCtx. If an idempotent, replayable request on a reused connection gets no
// answer within the service's tail latency plus SilentConnectionLag, it is also sent on a new connection, under ctx. The first
// answer is used; if it is that of the second copy, the first connection is dropped as silent.
func (a *attempt) roundTripHedged(ctx, firstCtx context.Context, conn *jybackend.Connection) (exchange, error) {
	if !a.request.match.Idempotent || !conn.Reused || !a.request.replayable() {
		return a.roundTrip(firstCtx, conn, a.sendKind())
	}
	h := &hedge{attempt: a, cancelFirst: a.cancel, done: make(chan struct{})}
	timer := time.AfterFunc(a.request.service.TailLatency()+a.forwarder.config.SilentConnectionLag, func() { h.run(ctx) })
	x, err := a.roundTrip(firstCtx, conn, a.sendKind())
	if timer.Stop() {
		return x, err
	}
	return h.selectResult(x, err)
}

// roundTrip sends one copy of the request on conn. It drops conn unless the copy is answered.
func (a *attempt) roundTrip(ctx context.Context, conn *jybackend.Connection, kind jybackend.SendKind) (exchange, error) {
	// The process may have been suspended; it must not send a request whose deadline has passed meanwhile.
	now := time.Now()
	out, err := a.request.newOutgoing(ctx, a.server().Info, now)
	if err == nil && !now.Before(a.request.deadline) {
		err = errNotSent
	}
	if err == nil && !a.request.holdsLease() {
		err = errNoLease
	}
	if err != nil {
		a.server().Pool.Drop(conn)
		return exchange{}, err
	}
	a.server().CountSend(kind)
	resp, err := conn.RoundTrip(out, func(resp *http.Response) bool { return a.request.dialect.answersRequest(resp, a.request.header) })
	if err != nil {
		a.server().Pool.Drop(conn)
		return exchange{}, err
	}
	return exchange{connection: conn, response: resp}, nil
}

// errNotSent means that the deadline passed before the request was sent.
var errNotSent = errors.New("not sent: the deadline has passed")

// errNoLease means that requests with keys could no longer be served when the request was about to be sent.
var errNoLease = errors.New("not sent: the lease on the keys is over")

// errInvalidHead means that the dialect does not accept the head of an answer.
var errInvalidHead = errors.New("invalid answer: content encoding set or signature header missing")

// hedge is a second copy of an idempotent request on a new connection to the same backend server.
type hedge struct {
	attempt     *attempt
	cancelFirst context.CancelFunc
	done        chan struct{}

	mu        sync.Mutex
	started   bool
	abandoned bool // the first copy was answered before the second
	won       bool // the second copy was answered, and the first was cancelled
	result    exchange
	cancel    context.CancelFunc
}

// run sends the second copy, if the server's limit and the retry budget allow it, and cancels the first copy once the second is answered.
func (h *hedge) run(ctx context.Context) {
	defer close(h.done)
	ctx, ok := h.start(ctx)
	if !ok {
		return
	}
	if !h.attempt.request.holdsLease() {
		return
	}
	if !h.attempt.server().TakeQuota(time.Now()) || !h.attempt.request.takeRetry() {
		return
	}
	pool := h.attempt.server().Pool
	conn, err := pool.Open(ctx, time.Now())
	if err != nil {
		return
	}
	h.attempt.request.service.RecordOpened(time.Now())
	x, err := h.attempt.roundTrip(ctx, conn, jybackend.CopySend)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.abandoned {
		pool.Drop(x.connection)
		return
	}
	h.won, h.result = true, x
	h.cancelFirst()
}

// start returns the context of the second copy, or false if the first copy is answered already.
func (h *hedge) start(ctx context.Context) (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.abandoned {
		return nil, false
	}
	h.started = true
	ctx, h.cancel = context.WithCancel(ctx)
	return ctx, true
}

// selectResult returns the answer of the copy that was answered first, or the first copy's error if neither was.
func (h *hedge) selectResult(x exchange, err error) (exchange, error) {
	if err == nil && h.abandon() {
		return x, nil
	}
	<-h.done
	if !h.won {
		return exchange{}, err
	}
	if err == nil {
		h.attempt.server().Pool.Drop(x.connection)
	}
	jylog.SilentConnectionDropped.Log(h.attempt.server().Info.Name)
	h.attempt.forwarder.silentConnectionAt.Store(time.Now().UnixNano())
	h.attempt.cancel = h.cancel
	return h.result, nil
}

// abandon cancels the second copy and reports whether it did; it does nothing if that copy was answered already.
func (h *hedge) abandon() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.won {
		return false
	}
	h.abandoned = true
	if h.started {
		h.cancel()
	}
	return true
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
