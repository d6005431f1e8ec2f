package jyaccountquota

import (
	"container/list"
	"math/rand/v2"
	"time"
)

const (
	// unlistedTime is the time in seconds for which admissions for an account without a known quota are kept: configurations of
	// instances in contact differ for at most half of it.
	unlistedTime = 5.0
	// startTime is the time in seconds for which an instance must have known that it is alone to use whole quotas, and in which one
	// that has not heard a peer admits at most one request of an account.
	startTime = 1.0
	// evictionTries is the number of buckets among which one is sought that may be evicted without loss.
	evictionTries = 8
)

// Config sets up Buckets.
type Config struct {
	Start       time.Time // of the process
	MaxAccounts int       // buckets that are kept; idle full ones are evicted first
	Random      *rand.Rand
	// IsApart says that the instances don't tell each other what they admit: each uses an equal part of a quota.
	IsApart bool
}

// Buckets holds the mirrored token buckets of the accounts in use. It is not safe for concurrent use.
type Buckets struct {
	config     Config
	quotas     map[Account]Quota
	buckets    map[Account]*bucket
	byRecency  *list.List // of *bucket, most recently used first
	pending    []*bucket  // with own admissions to report
	refusing   map[*bucket]bool
	contact    contact
	isStarted  bool // a peer was heard, or there is none
	aloneSince moment
}

// New returns Buckets without accounts, of an instance that has not heard its peers yet.
func New(c Config) *Buckets {
	return &Buckets{
		config: c, buckets: map[Account]*bucket{}, byRecency: list.New(), refusing: map[*bucket]bool{},
		contact: contact{heard: 1, known: 1, factor: 1}, isStarted: c.IsApart, aloneSince: -1,
	}
}

func (s *Buckets) moment(t time.Time) moment { return moment(t.Sub(s.config.Start)) }

// SetQuotas sets the quotas of all accounts, by which admissions of others are counted. The map must not change afterwards.
func (s *Buckets) SetQuotas(quotas map[Account]Quota) { s.quotas = quotas }

// SetCoverage sets how many instances were heard within the last second, this one included, and how many there are.
func (s *Buckets) SetCoverage(t time.Time, heard, known int) {
	now := s.moment(t)
	heard, known = max(1, heard), max(1, known)
	s.noteStart(now, heard, known)
	c := contact{heard: min(heard, known), known: known, losses: s.contact.losses}
	c.factor = factorOf(c.heard, known)
	if s.config.IsApart {
		c.heard, c.factor = 1, 1/float64(known)
	}
	if !c.isWhole() && s.contact.isWhole() {
		c.losses++
	}
	s.contact = c
}

// noteStart records whether the instance has heard a peer, or has known for startTime that it is alone.
func (s *Buckets) noteStart(now moment, heard, known int) {
	switch {
	case heard > 1:
		s.isStarted = true
	case known > 1:
		s.aloneSince = -1
	case s.aloneSince < 0:
		s.aloneSince = now
	case now.since(s.aloneSince) >= startTime:
		s.isStarted = true
	}
}

// Admit counts a request of the account and returns true, or returns false and after how long the caller should come back.
func (s *Buckets) Admit(t time.Time, a Account, q Quota) (ok bool, retryAfter time.Duration) {
	if !q.IsLimited() {
		return true, 0
	}
	now := s.moment(t)
	b := s.bucketFor(now, a, q)
	b.setQuota(now, q)
	b.refill(now)
	if !s.hasRoom(now, b) {
		s.refuse(now, b)
		return false, b.nextReturn(now, s.contact, s.config.Random)
	}
	b.admitted++
	b.admittedAt = now
	s.countOwn(now, b, 1)
	return true, 0
}

// Return takes back a request that was admitted and certainly did not run.
func (s *Buckets) Return(t time.Time, a Account) {
	if b := s.buckets[a]; b != nil {
		s.countOwn(s.moment(t), b, -1)
	}
}

// Observe counts requests that another instance admitted age ago; a negative number are requests that it returned.
func (s *Buckets) Observe(t time.Time, u Usage, age time.Duration) {
	now := s.moment(t)
	q := s.quotas[u.Account]
	b := s.bucketFor(now, u.Account, q)
	if q.IsLimited() {
		b.setQuota(now, q)
	}
	s.count(now, b, u.Admitted, age)
}

// HasUsage reports whether TakeUsage may return any.
func (s *Buckets) HasUsage() bool { return len(s.pending) > 0 }

// TakeUsage returns the own admissions since its last call.
func (s *Buckets) TakeUsage() []Usage {
	var out []Usage
	for _, b := range s.pending {
		if b.pending != 0 {
			out = append(out, Usage{Account: b.account, Admitted: b.pending})
		}
		b.pending, b.isPending = 0, false
	}
	s.pending = s.pending[:0]
	return out
}

// TakeRefusalChanges returns for which accounts refusals began or ended since its last call.
func (s *Buckets) TakeRefusalChanges(t time.Time) []RefusalChange {
	return s.takeRefusalChanges(s.moment(t))
}

// hasRoom reports whether a request of the account may be admitted.
func (s *Buckets) hasRoom(now moment, b *bucket) bool {
	if b.level < 1 {
		return false
	}
	if !s.isStarted && b.admitted > 0 && now.since(b.admittedAt) < startTime {
		return false
	}
	// An instance that has just started is in contact, most likely, and only waits for the first signal.
	isStarting := !s.isStarted && now.since(0) < startTime
	return isStarting || s.contact.isWhole() || b.partHasRoom(now, s.contact, s.config.Random)
}

// countOwn counts own admissions and notes them for the report.
func (s *Buckets) countOwn(now moment, b *bucket, n int) {
	s.count(now, b, n, 0)
	b.own.add(now, float64(n))
	b.pending += n
	if !b.isPending {
		b.isPending = true
		s.pending = append(s.pending, b)
	}
}

// count counts admissions of any instance.
func (s *Buckets) count(now moment, b *bucket, n int, age time.Duration) {
	if !s.contact.isWhole() && b.quota.IsLimited() {
		b.refillPart(now, s.contact)
		b.part.level -= float64(n)
	}
	b.take(now, float64(n), age)
	b.recent.add(now, float64(n))
}

// bucketFor returns the bucket of an account. A new one is full, except that it holds a few requests and what was refilled since the
// start of the process: what was used before is not known.
func (s *Buckets) bucketFor(now moment, a Account, q Quota) *bucket {
	if b := s.buckets[a]; b != nil {
		s.byRecency.MoveToFront(b.element)
		return b
	}
	if len(s.buckets) >= s.config.MaxAccounts {
		s.evict(now)
	}
	b := &bucket{account: a, quota: q, at: now, fullSince: now, fullUntil: now}
	if q.IsLimited() {
		b.level = min(q.capacity(), 1+toleratedRequests+q.PerSecond*now.since(0))
	}
	b.element = s.byRecency.PushFront(b)
	s.buckets[a] = b
	return b
}

// evict removes a bucket that is idle or, if none of those used longest ago is, the one used longest ago.
func (s *Buckets) evict(now moment) {
	victim := s.byRecency.Back()
	e := victim
	for range evictionTries {
		if e == nil {
			break
		}
		if e.Value.(*bucket).isIdle(now) {
			victim = e
			break
		}
		e = e.Prev()
	}
	b := victim.Value.(*bucket)
	s.byRecency.Remove(victim)
	delete(s.buckets, b.account)
	delete(s.refusing, b)
}
