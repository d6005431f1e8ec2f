package jydedup

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// recordLimitFactor times MaxRecords is the maximum number of records, with those of ids that were refused because
// MaxRecords was reached.
const recordLimitFactor = 2

// Config sets up a Ledger. There are no defaults.
type Config struct {
	Self   Issuer    // this process run
	Secret []byte    // key of the tags: random, new at each boot
	Boot   time.Time // start of this process run
	// Lifetime is how long after its issue an id may be used for the first time.
	Lifetime time.Duration
	// Retention is how long after the end of Lifetime the result of a used id is kept.
	Retention time.Duration
	// MaxRecords is the number of recorded ids beyond which new ids are refused; up to twice as many are recorded, refused ones
	// included.
	MaxRecords int
	// MaxReplayBytes is the maximum size of the body of an answer that is kept. Of a larger one, only outcome and reason are kept.
	MaxReplayBytes int
	// MaxKeptBytes is the maximum total size of the bodies of kept answers; the oldest are dropped first.
	MaxKeptBytes int
}

// Ledger decides for each request id that it owns whether its request may start. It owns the ids that it issued and those that
// it imported. It is not safe for concurrent use.
type Ledger struct {
	config      Config
	sequence    uint64
	issuers     map[Issuer]*issuerState
	records     int       // used ids of all issuers
	answers     []*record // records with an answer, oldest first
	answerBytes int
	sealed      bool
}

// issuerState holds the used ids of one issuer: this process run or an imported one.
type issuerState struct {
	issuer      Issuer
	secret      []byte
	bootTime    time.Time     // the issuer's boot by the local clock
	ageAtImport time.Duration // from the issuer's boot to the hand-over, 0 if it is this process run
	used        map[uint64]*record
	order       []uint64 // sequence numbers of the used ids in the order of their first use
}

// record describes the first use of an id, and the result of its request.
type record struct {
	caller      Caller
	fingerprint Fingerprint
	age         time.Duration // from the issuer's boot to the issue of the id
	running     bool
	result      Result
}

// NewLedger returns a ledger that has issued no ids.
func NewLedger(c Config) *Ledger {
	local := &issuerState{issuer: c.Self, secret: c.Secret, bootTime: c.Boot, used: map[uint64]*record{}}
	return &Ledger{config: c, issuers: map[Issuer]*issuerState{c.Self: local}}
}

// Issue returns a new id for the caller. An id takes no memory until it is used.
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

// tagOf returns the tag of an id: the first 16 bytes of an HMAC-SHA-256 over its other parts and the caller.
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

// Owns reports whether the ledger issued or imported the ids of an issuer.
func (l *Ledger) Owns(i Issuer) bool { return l.issuers[i] != nil }

// Begin decides what to do with a request that carries the id. The fingerprint tells a resend from another request under the
// same id. If the action is Start, Finish must follow.
func (l *Ledger) Begin(now time.Time, id ID, c Caller, f Fingerprint) Decision {
	s := l.issuers[id.Issuer]
	if s == nil {
		return Decision{Action: Forward}
	}
	tag := tagOf(s.secret, id, c)
	if !hmac.Equal(tag[:], id.Tag[:]) {
		return refuse(jyoutcome.NotRun, jyoutcome.RequestIDInvalid)
	}
	l.dropExpiredRecords(now, s)
	if r := s.used[id.Sequence]; r != nil {
		return r.decideResend(c, f)
	}
	if reason, outcome, refused := l.checkNew(now, s, id); refused {
		return refuse(outcome, reason)
	}
	r := &record{caller: c, fingerprint: f, age: id.Age, running: true}
	l.add(s, id.Sequence, r)
	if l.records <= l.config.MaxRecords {
		return Decision{Action: Start}
	}
	// The refusal is recorded, so that a late copy of the request is refused too.
	r.running = false
	r.result = Result{Outcome: jyoutcome.NotRun, Reason: jyoutcome.RequestIDTableFull}
	return Decision{Action: Refuse, Result: r.result}
}

func (l *Ledger) add(s *issuerState, sequence uint64, r *record) {
	s.used[sequence] = r
	s.order = append(s.order, sequence)
	l.records++
}

// checkNew reports whether an id that was not used yet is refused, and with which reason and outcome.
func (l *Ledger) checkNew(now time.Time, s *issuerState, id ID) (jyoutcome.Reason, jyoutcome.Outcome, bool) {
	age := now.Sub(s.bootTime) - id.Age
	switch {
	case l.sealed:
		// A successor may start the request after the hand-over.
		return jyoutcome.ShuttingDown, jyoutcome.Unknown, true
	case age > l.config.Lifetime+l.config.Retention:
		// The record of an earlier use may have been dropped.
		return jyoutcome.RequestIDExpired, jyoutcome.Unknown, true
	case age > l.config.Lifetime:
		return jyoutcome.RequestIDExpired, jyoutcome.NotRun, true
	case l.records >= recordLimitFactor*l.config.MaxRecords:
		// The refusal cannot be recorded, so a late copy may start once there is capacity again.
		return jyoutcome.RequestIDTableFull, jyoutcome.Unknown, true
	}
	return "", "", false
}

// decideResend returns the decision on an id that was used before.
func (r *record) decideResend(c Caller, f Fingerprint) Decision {
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

// Finish records the result of a request for which Begin returned Start. After the outcome NotRun the id stays refused. The
// error is of kind Misused if the request is not running.
func (l *Ledger) Finish(id ID, result Result) error {
	s := l.issuers[id.Issuer]
	if s == nil || s.used[id.Sequence] == nil || !s.used[id.Sequence].running {
		return jyfault.New("finish request", Misused, "id %d of %s is not running here", id.Sequence, id.Issuer.Instance)
	}
	r := s.used[id.Sequence]
	r.running = false
	if result.Answer != nil && len(result.Answer.Body) > l.config.MaxReplayBytes {
		result.Answer = nil
	}
	r.result = result
	l.keepAnswer(r)
	return nil
}

// keepAnswer adds the record's answer to the kept ones, and drops the oldest beyond MaxKeptBytes: an old answer is the least
// likely to be requested again.
func (l *Ledger) keepAnswer(r *record) {
	if r.result.Answer == nil {
		return
	}
	l.answers = append(l.answers, r)
	l.answerBytes += r.answerBytes()
	for l.answerBytes > l.config.MaxKeptBytes && len(l.answers) > 0 {
		l.dropAnswer(l.answers[0])
		l.answers = l.answers[1:]
	}
}

// dropAnswer drops a record's answer, and keeps its outcome and reason.
func (l *Ledger) dropAnswer(r *record) {
	l.answerBytes -= r.answerBytes()
	r.result.Answer = nil
}

func (r *record) answerBytes() int {
	if r.result.Answer == nil {
		return 0
	}
	return len(r.result.Answer.Body)
}

// dropExpiredRecords drops records whose ids were issued more than Lifetime plus Retention ago, in the order of first use. It
// stops at the first one that is running or not expired.
func (l *Ledger) dropExpiredRecords(now time.Time, s *issuerState) {
	for len(s.order) > 0 {
		r := s.used[s.order[0]]
		if r.running || now.Sub(s.bootTime)-r.age <= l.config.Lifetime+l.config.Retention {
			return
		}
		l.dropAnswer(r)
		delete(s.used, s.order[0])
		s.order = s.order[1:]
		l.records--
	}
}

// Records returns the number of used ids that are recorded.
func (l *Ledger) Records() int { return l.records }

// Running returns the number of requests that Begin let start and that have not finished.
func (l *Ledger) Running() int {
	n := 0
	for _, s := range l.issuers {
		for _, r := range s.used {
			if r.running {
				n++
			}
		}
	}
	return n
}
