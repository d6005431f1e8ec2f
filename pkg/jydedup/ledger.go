package jydedup

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// refusalRoom is how many times MaxRecords the refusals for want of room may fill.
const refusalRoom = 2

// Config sets up a Ledger.
type Config struct {
	Self   Issuer
	Secret []byte // random, new at each boot
	Boot   time.Time
	// Lifetime is how long after its issue an id may be used first.
	Lifetime time.Duration
	// Retention is how long beyond Lifetime the result of a used id is kept.
	Retention time.Duration
	// MaxRecords bounds the used ids that may start; twice as many are remembered.
	MaxRecords int
	// MaxReplayBytes bounds the body of an answer that is kept.
	MaxReplayBytes int
	// MaxKeptBytes bounds the bodies of all answers that are kept; the oldest make room.
	MaxKeptBytes int
}

// Ledger decides for each request id of one process whether its request may start; it is not safe for concurrent use.
type Ledger struct {
	config   Config
	sequence uint64
	estates  map[Issuer]*estate
	records  int
	kept     []*record // with an answer, oldest first
	keptSize int
	sealed   bool
}

// estate holds the ids of one issuer: the ledger's own, or one that was taken over.
type estate struct {
	issuer Issuer
	secret []byte
	origin time.Time     // the issuer's boot on this process's clock
	handed time.Duration // the issuer's age when it was taken over
	used   map[uint64]*record
	order  []uint64 // used sequences in the order of their start
}

type record struct {
	caller      Caller
	fingerprint Fingerprint
	age         time.Duration
	running     bool
	result      Result
}

// NewLedger returns a ledger that has issued nothing.
func NewLedger(c Config) *Ledger {
	own := &estate{issuer: c.Self, secret: c.Secret, origin: c.Boot, used: map[uint64]*record{}}
	return &Ledger{config: c, estates: map[Issuer]*estate{c.Self: own}}
}

// Issue returns a new id for the caller; it costs no memory until the id is used.
func (l *Ledger) Issue(now time.Time, c Caller) ID {
	l.sequence++
	id := ID{
		Issuer:   l.config.Self,
		Sequence: l.sequence,
		Age:      now.Sub(l.config.Boot).Truncate(time.Millisecond),
	}
	id.Tag = tagOf(l.config.Secret, id, c)
	return id
}

func tagOf(secret []byte, id ID, c Caller) Tag {
	m := hmac.New(sha256.New, secret)
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], uint64(id.Issuer.Boot))
	binary.BigEndian.PutUint64(b[8:], id.Sequence)
	binary.BigEndian.PutUint64(b[16:], uint64(id.Age))
	m.Write(b[:])
	m.Write([]byte(id.Issuer.Instance))
	m.Write([]byte{0})
	m.Write([]byte(c))
	var t Tag
	copy(t[:], m.Sum(nil))
	return t
}

// Owns reports whether this ledger decides about the ids of that issuer.
func (l *Ledger) Owns(i Issuer) bool { return l.estates[i] != nil }

// Begin decides what to do with a request that carries the id.
func (l *Ledger) Begin(now time.Time, id ID, c Caller, f Fingerprint) Decision {
	e := l.estates[id.Issuer]
	if e == nil {
		return Decision{Action: Forward}
	}
	want := tagOf(e.secret, id, c)
	if !hmac.Equal(want[:], id.Tag[:]) {
		return refuse(jyoutcome.NotRun, jyoutcome.RequestIDInvalid)
	}
	l.expire(now, e)
	if r := e.used[id.Sequence]; r != nil {
		return r.resend(c, f)
	}
	if reason, outcome, refused := l.refusesNew(now, e, id); refused {
		return refuse(outcome, reason)
	}
	r := &record{caller: c, fingerprint: f, age: id.Age, running: true}
	l.add(e, id.Sequence, r)
	if l.records <= l.config.MaxRecords {
		return Decision{Action: Start}
	}
	// The refusal is remembered, so that a copy of the request that comes late is refused too.
	r.running = false
	r.result = Result{Outcome: jyoutcome.NotRun, Reason: jyoutcome.RequestIDTableFull}
	return Decision{Action: Refuse, Result: r.result}
}

func (l *Ledger) add(e *estate, sequence uint64, r *record) {
	e.used[sequence] = r
	e.order = append(e.order, sequence)
	l.records++
}

func (l *Ledger) refusesNew(now time.Time, e *estate, id ID) (jyoutcome.Reason, jyoutcome.Outcome, bool) {
	age := now.Sub(e.origin) - id.Age
	switch {
	case l.sealed:
		// The successor may start it after the hand-over.
		return jyoutcome.ShuttingDown, jyoutcome.Unknown, true
	case age > l.config.Lifetime+l.config.Retention:
		// A record of its use could have been dropped.
		return jyoutcome.RequestIDExpired, jyoutcome.Unknown, true
	case age > l.config.Lifetime:
		return jyoutcome.RequestIDExpired, jyoutcome.NotRun, true
	case l.records >= refusalRoom*l.config.MaxRecords:
		// There is no room even for the refusal, so that a late copy may find room and start.
		return jyoutcome.RequestIDTableFull, jyoutcome.Unknown, true
	}
	return "", "", false
}

func (r *record) resend(c Caller, f Fingerprint) Decision {
	if r.caller != c || r.fingerprint != f {
		return refuse(jyoutcome.NotRun, jyoutcome.RequestIDReused)
	}
	if r.running {
		return Decision{Action: Join}
	}
	return Decision{Action: Replay, Result: r.result}
}

func refuse(o jyoutcome.Outcome, r jyoutcome.Reason) Decision {
	return Decision{Action: Refuse, Result: Result{Outcome: o, Reason: r}}
}

// Finish records the result of a request that Begin told to start; after a NotRun the id stays refused for good.
func (l *Ledger) Finish(id ID, result Result) error {
	e := l.estates[id.Issuer]
	if e == nil || e.used[id.Sequence] == nil || !e.used[id.Sequence].running {
		return jyfault.New("finish request", Misused, "id %d of %s does not run here", id.Sequence, id.Issuer.Instance)
	}
	r := e.used[id.Sequence]
	r.running = false
	if result.Answer != nil && len(result.Answer.Body) > l.config.MaxReplayBytes {
		result.Answer = nil
	}
	r.result = result
	l.keep(r)
	return nil
}

// keep makes room for the record's answer: an old answer is the least likely to be asked for again.
func (l *Ledger) keep(r *record) {
	if r.result.Answer == nil {
		return
	}
	l.kept = append(l.kept, r)
	l.keptSize += r.size()
	for l.keptSize > l.config.MaxKeptBytes && len(l.kept) > 0 {
		l.drop(l.kept[0])
		l.kept = l.kept[1:]
	}
}

// drop forgets a record's answer, and keeps what became of its request.
func (l *Ledger) drop(r *record) {
	l.keptSize -= r.size()
	r.result.Answer = nil
}

func (r *record) size() int {
	if r.result.Answer == nil {
		return 0
	}
	return len(r.result.Answer.Body)
}

// expire drops records whose ids are too old to be answered for; a running one is kept.
func (l *Ledger) expire(now time.Time, e *estate) {
	for len(e.order) > 0 {
		r := e.used[e.order[0]]
		if r.running || now.Sub(e.origin)-r.age <= l.config.Lifetime+l.config.Retention {
			return
		}
		l.drop(r)
		delete(e.used, e.order[0])
		e.order = e.order[1:]
		l.records--
	}
}

// Records returns how many used ids are remembered.
func (l *Ledger) Records() int { return l.records }

// Running returns how many requests have started and not finished.
func (l *Ledger) Running() int {
	n := 0
	for _, e := range l.estates {
		for _, r := range e.used {
			if r.running {
				n++
			}
		}
	}
	return n
}
