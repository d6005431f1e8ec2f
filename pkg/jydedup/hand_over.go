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
	Secret  []byte        // key of the issuer's tags
	Elapsed time.Duration // from the issuer's boot to the export
	Records []HandOverRecord
}

// HandOverRecord is one used id in a HandOver, with the result of its request.
type HandOverRecord struct {
	Sequence    uint64
	Age         time.Duration // from the issuer's boot to the issue of the id
	Caller      Caller
	Fingerprint Fingerprint
	Result      Result
}

// Split divides a hand-over into at least one part of at most size records, since messages have a maximum size. size must be
// above 0. The parts share the records of h.
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

// Seal makes the ledger refuse, for good, all ids that were not used yet. Running requests go on.
func (l *Ledger) Seal() { l.sealed = true }

// Export returns a hand-over for each issuer whose ids the ledger owns, sorted by issuer. Send them to one successor only: a
// second one could run a request again. Its error is of kind Misused if the ledger is not sealed or a request is running.
func (l *Ledger) Export(now time.Time) ([]HandOver, error) {
	const op = "export request ids"
	if !l.sealed {
		return nil, jyfault.New(op, Misused, "the ledger is not sealed")
	}
	if n := l.Running(); n > 0 {
		return nil, jyfault.New(op, Misused, "%d requests are still running", n)
	}
	list := make([]HandOver, 0, len(l.issuers))
	for _, s := range l.issuers {
		list = append(list, s.export(now))
	}
	slices.SortFunc(list, func(a, b HandOver) int {
		return cmp.Or(cmp.Compare(a.Issuer.Instance, b.Issuer.Instance), cmp.Compare(a.Issuer.Boot, b.Issuer.Boot))
	})
	return list, nil
}

func (s *issuerState) export(now time.Time) HandOver {
	h := HandOver{Issuer: s.issuer, Secret: s.secret, Elapsed: now.Sub(s.bootTime)}
	for _, sequence := range s.order {
		r := s.used[sequence]
		h.Records = append(h.Records, HandOverRecord{
			Sequence: sequence, Age: r.age, Caller: r.caller, Fingerprint: r.fingerprint, Result: r.result,
		})
	}
	return h
}

// Import makes the ledger the owner of the ids of another issuer. Its error is of kind Misused if the ledger is sealed or owns
// these ids already.
func (l *Ledger) Import(now time.Time, h HandOver) error {
	const op = "take request ids over"
	if l.sealed {
		return jyfault.New(op, Misused, "this ledger is sealed itself")
	}
	if l.issuers[h.Issuer] != nil {
		return jyfault.New(op, Misused, "ids of %s are decided here already", h.Issuer.Instance)
	}
	s := &issuerState{issuer: h.Issuer, secret: h.Secret, bootTime: now.Add(-h.Elapsed), ageAtImport: h.Elapsed, used: map[uint64]*record{}}
	for _, h := range h.Records {
		r := &record{caller: h.Caller, fingerprint: h.Fingerprint, age: h.Age, result: h.Result}
		l.add(s, h.Sequence, r)
		l.keepAnswer(r)
	}
	l.issuers[h.Issuer] = s
	return nil
}

// DropExpired drops the records of all issuers that are past Lifetime and Retention, and imported issuers whose ids have all
// expired. Begin drops only those of the issuer of its id.
func (l *Ledger) DropExpired(now time.Time) {
	for issuer, s := range l.issuers {
		l.dropExpiredRecords(now, s)
		// The issuer issued its last id before the hand-over.
		if issuer != l.config.Self && len(s.used) == 0 && now.Sub(s.bootTime)-s.ageAtImport > l.config.Lifetime+l.config.Retention {
			delete(l.issuers, issuer)
		}
	}
}
