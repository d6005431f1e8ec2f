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

// exchange is a connection and the head of the answer that it brought.
type exchange struct {
	connection *jybackend.Connection
	response   *http.Response
}

// exchange sends the request on conn under the context first; an idempotent one that stays unanswered for longer than the
// service's usual latency is tried on a new connection too, under ctx, and if only that one answers, the first is dropped
// as silent.
func (a *attempt) exchange(ctx, first context.Context, conn *jybackend.Connection) (exchange, error) {
	if !a.request.match.Idempotent || !conn.Reused || !a.request.replayable() {
		return a.roundTrip(first, conn)
	}
	h := &hedge{attempt: a, cancelFirst: a.cancel, done: make(chan struct{})}
	timer := time.AfterFunc(a.request.service.TailLatency()+a.forwarder.config.SilentConnectionLag, func() { h.run(ctx) })
	x, err := a.roundTrip(first, conn)
	if timer.Stop() {
		return x, err
	}
	return h.settle(x, err)
}

func (a *attempt) roundTrip(ctx context.Context, conn *jybackend.Connection) (exchange, error) {
	// A process that was paused must not send what its caller has given up on.
	now := time.Now()
	out, err := a.request.outgoing(ctx, a.server().Info, now)
	if err == nil && !now.Before(a.request.deadline) {
		err = errNotSent
	}
	if err != nil {
		a.server().Pool.Drop(conn)
		return exchange{}, err
	}
	resp, err := conn.RoundTrip(out, func(resp *http.Response) bool { return a.request.dialect.belongsTo(resp, a.request.header) })
	if err != nil {
		a.server().Pool.Drop(conn)
		return exchange{}, err
	}
	return exchange{connection: conn, response: resp}, nil
}

// errNotSent says that the deadline had passed before anything was sent.
var errNotSent = errors.New("not sent: the deadline has passed")

// errSpoilt says that an answer lacks what makes it the backend server's whole answer.
var errSpoilt = errors.New("the answer is not whole")

// hedge is a second copy of an idempotent request on a new connection to the same backend server.
type hedge struct {
	attempt     *attempt
	cancelFirst context.CancelFunc
	done        chan struct{}

	mu        sync.Mutex
	started   bool
	abandoned bool // the first copy was answered
	won       bool // the second copy was answered, and the first was cancelled
	result    exchange
	cancel    context.CancelFunc
}

func (h *hedge) run(ctx context.Context) {
	defer close(h.done)
	ctx, ok := h.start(ctx)
	if !ok {
		return
	}
	if !h.attempt.request.service.TakeRetry() {
		return
	}
	pool := h.attempt.server().Pool
	conn, err := pool.Open(ctx, time.Now())
	if err != nil {
		return
	}
	x, err := h.attempt.roundTrip(ctx, conn)
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

// settle returns the first copy's answer if it has one, and else the second's.
func (h *hedge) settle(x exchange, err error) (exchange, error) {
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
	jylog.ConnectionQuiet.Log(h.attempt.server().Info.Name)
	h.attempt.forwarder.quietAt.Store(time.Now().UnixNano())
	h.attempt.cancel = h.cancel
	return h.result, nil
}

// abandon gives the second copy up, unless it was answered already.
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
