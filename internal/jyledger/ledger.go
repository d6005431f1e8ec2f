package jyledger

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
)

// Ledger is a jydedup.Ledger that is safe for concurrent use and runs the requests that may start.
type Ledger struct {
	mu         sync.Mutex
	ledger     *jydedup.Ledger
	executions map[jydedup.ID]*execution
}

// execution is a running request; result is set before done is closed.
type execution struct {
	done   chan struct{}
	result jydedup.Result
}

// New returns a ledger that has issued no ids.
func New(c jydedup.Config) *Ledger {
	return &Ledger{ledger: jydedup.NewLedger(c), executions: map[jydedup.ID]*execution{}}
}

// Issue returns count new ids for the caller.
func (l *Ledger) Issue(c jydedup.Caller, count int) []jydedup.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	ids := make([]jydedup.ID, 0, count)
	for range count {
		ids = append(ids, l.ledger.Issue(now, c))
	}
	return ids
}

// Owns reports whether this process owns the ids of an issuer.
func (l *Ledger) Owns(i jydedup.Issuer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Owns(i)
}

// Once calls start at most once for the id and returns its result, also to resends that arrive while it runs.
//
// The request runs to its end even if ctx ends, since its result is kept for resends; ok is false if ctx ended first.
func (l *Ledger) Once(ctx context.Context, id jydedup.ID, c jydedup.Caller, f jydedup.Fingerprint, start func() jydedup.Result) (d jydedup.Decision, ok bool) {
	d, e := l.begin(id, c, f)
	switch d.Action {
	case jydedup.Start:
		go l.run(id, start, e)
	case jydedup.Join:
	default:
		return d, true
	}
	select {
	case <-e.done:
		return jydedup.Decision{Action: jydedup.Replay, Result: e.result}, true
	case <-ctx.Done():
		return d, false
	}
}

func (l *Ledger) begin(id jydedup.ID, c jydedup.Caller, f jydedup.Fingerprint) (jydedup.Decision, *execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.ledger.Begin(time.Now(), id, c, f)
	if d.Action == jydedup.Start {
		l.executions[id] = &execution{done: make(chan struct{})}
	}
	return d, l.executions[id]
}

func (l *Ledger) run(id jydedup.ID, start func() jydedup.Result, e *execution) {
	e.result = start()
	l.mu.Lock()
	defer l.mu.Unlock()
	// Finish cannot fail: only this goroutine finishes the id for which Begin returned Start.
	_ = l.ledger.Finish(id, e.result)
	delete(l.executions, id)
	close(e.done)
}

// Seal refuses all new ids from now on; see jydedup.Ledger.Seal.
func (l *Ledger) Seal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Seal()
}

// Export returns the ids for the successor; see jydedup.Ledger.Export.
func (l *Ledger) Export() ([]jydedup.HandOver, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Export(time.Now())
}

// Import makes this process the owner of the ids of another issuer; see jydedup.Ledger.Import.
func (l *Ledger) Import(h jydedup.HandOver) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.ledger.DropExpired(now)
	return l.ledger.Import(now, h)
}

// Stats are figures for operators.
type Stats struct {
	Records int // recorded request ids
	Running int // running requests
}

// Stats returns the current figures.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Records: l.ledger.Records(), Running: l.ledger.Running()}
}
