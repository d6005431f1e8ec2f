package jydetour

import (
	"context"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// exchange is the state of one request to one instance.
type exchange struct {
	// canRepeat says that the request may be sent to another instance although this one may run it.
	canRepeat bool
	onSilent  func()

	mu      sync.Mutex
	wasSent bool // the instance may have received a part of the request
	hasAck  bool
	gaveUp  bool // the exchange was ended, since there was no ack in time
}

func newExchange(canRepeat bool) *exchange { return &exchange{canRepeat: canRepeat} }

// trace returns the hooks by which net/http tells what was sent and received.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.wasSent = true
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			e.acknowledge()
			return nil
		},
	}
}

// acknowledge records that the instance received the request.
func (e *exchange) acknowledge() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hasAck = true
}

// awaitAck starts the wait for the ack. Without one, the instance is reported as silent, and the exchange is ended if the request can
// be repeated. The returned function ends the wait.
func (e *exchange) awaitAck(cancel context.CancelFunc) (stop func() bool) {
	return time.AfterFunc(ackTimeout, func() {
		e.mu.Lock()
		isSilent := !e.hasAck
		e.gaveUp = isSilent && e.canRepeat
		hasGivenUp := e.gaveUp
		e.mu.Unlock()
		if isSilent {
			e.onSilent()
		}
		if hasGivenUp {
			cancel()
		}
	}).Stop
}

// isSilent reports whether the exchange was ended for want of an ack.
func (e *exchange) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gaveUp
}

// mayHaveRun reports whether a failed request may have run, so that it must not be sent to another instance.
func (e *exchange) mayHaveRun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wasSent && !e.gaveUp
}
