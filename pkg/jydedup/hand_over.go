package jydedup

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// HandOver carries the ids of one issuer from a process that shuts down to its successor.
type HandOver struct {
	Issuer  Issuer
	Secret  []byte
	Elapsed time.Duration // since the issuer's boot
	Records []HandOverRecord
}

// HandOverRecord is one used id in a HandOver.
type HandOverRecord struct {
	Sequence    uint64
	Age         time.Duration
	Caller      Caller
	Fingerprint Fingerprint
	Result      Result
}

// Split divides a hand-over into parts of at most size records, since it travels in messages of bounded size.
func (h HandOver) Split(size int) []HandOver {
	var parts []HandOver
	for rest := h.Records; len(parts) == 0 || len(rest) > 0; {
		n := min(size, len(rest))
		part := h
		part.Records, rest = rest[:n], rest[n:]
		parts = append(parts, part)
	}
	return parts
}

// Seal makes the ledger start nothing more, and it can't be undone; running requests go on.
func (l *Ledger) Seal() { l.sealed = true }

// Export returns what a successor needs; it must be offered to one successor only, and only after Seal, when nothing runs.
func (l *Ledger) Export(now time.Time) ([]HandOver, error) {
	const op = "export request ids"
	if !l.sealed {
		return nil, jyfault.New(op, Misused, "the ledger is not sealed")
	}
	if n := l.Running(); n > 0 {
		return nil, jyfault.New(op, Misused, "%d requests still run", n)
	}
	list := make([]HandOver, 0, len(l.estates))
	for _, e := range l.estates {
		list = append(list, e.export(now))
	}
	slices.SortFunc(list, func(a, b HandOver) int {
		return cmp.Or(cmp.Compare(a.Issuer.Instance, b.Issuer.Instance), cmp.Compare(a.Issuer.Boot, b.Issuer.Boot))
	})
	return list, nil
}

func (e *estate) export(now time.Time) HandOver {
	h := HandOver{Issuer: e.issuer, Secret: e.secret, Elapsed: now.Sub(e.origin)}
	for _, sequence := range e.order {
		r := e.used[sequence]
		h.Records = append(h.Records, HandOverRecord{
			Sequence: sequence, Age: r.age, Caller: r.caller, Fingerprint: r.fingerprint, Result: r.result,
		})
	}
	return h
}

// Import makes the ledger decide about the ids of another issuer from now on; its errors are of kind Misused.
func (l *Ledger) Import(now time.Time, h HandOver) error {
	const op = "take request ids over"
	if l.sealed {
		return jyfault.New(op, Misused, "this ledger is sealed itself")
	}
	if l.estates[h.Issuer] != nil {
		return jyfault.New(op, Misused, "ids of %s are decided here already", h.Issuer.Instance)
	}
	e := &estate{issuer: h.Issuer, secret: h.Secret, origin: now.Add(-h.Elapsed), handed: h.Elapsed, used: map[uint64]*record{}}
	for _, h := range h.Records {
		r := &record{caller: h.Caller, fingerprint: h.Fingerprint, age: h.Age, result: h.Result}
		l.add(e, h.Sequence, r)
		l.keep(r)
	}
	l.estates[h.Issuer] = e
	return nil
}

// DropExpired drops the ids of issuers whose every id has outlived its retention.
func (l *Ledger) DropExpired(now time.Time) {
	for issuer, e := range l.estates {
		l.expire(now, e)
		// The issuer's last id is at least as old as the hand-over.
		if issuer != l.config.Self && len(e.used) == 0 && now.Sub(e.origin)-e.handed > l.config.Lifetime+l.config.Retention {
			delete(l.estates, issuer)
		}
	}
}
