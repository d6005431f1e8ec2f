package jyledger

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
)

// Ledger is a jydedup.Ledger for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	decide  *jydedup.Ledger
	pending map[jydedup.ID]*pending
}

// pending is a request that runs; result is set before done is closed.
type pending struct {
	done   chan struct{}
	result jydedup.Result
}

// New returns a ledger around a decision.
func New(c jydedup.Config) *Ledger {
	return &Ledger{decide: jydedup.NewLedger(c), pending: map[jydedup.ID]*pending{}}
}

// Issue returns count new ids for the caller.
func (l *Ledger) Issue(c jydedup.Caller, count int) []jydedup.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	ids := make([]jydedup.ID, 0, count)
	for range count {
		ids = append(ids, l.decide.Issue(now, c))
	}
	return ids
}

// Owns reports whether this process decides about the ids of that issuer.
func (l *Ledger) Owns(i jydedup.Issuer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide.Owns(i)
}

// Once runs start at most once for the id and returns its result, also to resends that come while it runs.
//
// The request runs to its end even if ctx ends, since its result belongs to the id; ok is false if ctx ended first.
func (l *Ledger) Once(ctx context.Context, id jydedup.ID, c jydedup.Caller, f jydedup.Fingerprint, start func() jydedup.Result) (d jydedup.Decision, ok bool) {
	d, p := l.begin(id, c, f)
	switch d.Action {
	case jydedup.Start:
		go l.run(id, start, p)
	case jydedup.Join:
	default:
		return d, true
	}
	select {
	case <-p.done:
		return jydedup.Decision{Action: jydedup.Replay, Result: p.result}, true
	case <-ctx.Done():
		return d, false
	}
}

func (l *Ledger) begin(id jydedup.ID, c jydedup.Caller, f jydedup.Fingerprint) (jydedup.Decision, *pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.decide.Begin(time.Now(), id, c, f)
	if d.Action == jydedup.Start {
		l.pending[id] = &pending{done: make(chan struct{})}
	}
	return d, l.pending[id]
}

func (l *Ledger) run(id jydedup.ID, start func() jydedup.Result, p *pending) {
	p.result = start()
	l.mu.Lock()
	defer l.mu.Unlock()
	// Only this goroutine finishes the id that Begin let it start.
	_ = l.decide.Finish(id, p.result)
	delete(l.pending, id)
	close(p.done)
}

// Seal lets nothing more start.
func (l *Ledger) Seal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decide.Seal()
}

// Export returns what the successor needs; see jydedup.Ledger.Export.
func (l *Ledger) Export() ([]jydedup.HandOver, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide.Export(time.Now())
}

// Import takes the ids of another issuer over; see jydedup.Ledger.Import.
func (l *Ledger) Import(h jydedup.HandOver) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.decide.DropExpired(now)
	return l.decide.Import(now, h)
}

// Stats are figures for the operator.
type Stats struct {
	Records int
	Running int
}

// Stats returns how many ids are remembered and how many run.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Records: l.decide.Records(), Running: l.decide.Running()}
}
