package jynode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

const (
	quotaShards = 16
	// quotaLogInterval is the time between two searches for accounts whose refusals began or ended.
	quotaLogInterval = time.Second
	// maxQuotaLogLines bounds the lines per event and second.
	maxQuotaLogLines = 20
	// adoptionTime is how long instances may differ in whether their configuration has quotas; until then, those without quotas are not
	// heard. A configuration is in force everywhere 2.5 s after it was acknowledged.
	adoptionTime = 3 * time.Second
)

// accountQuotas keeps the quotas of client accounts together with the other instances. It is safe for concurrent use.
type accountQuotas struct {
	node    *Node
	isApart bool // the instances don't tell each other what they admit
	shards  [quotaShards]quotaShard
	table   atomic.Pointer[accountTable]
	// countMembers returns the number of instances that share quotas.
	countMembers func(now time.Time) int
	withoutSince time.Time                 // when the first configuration had no quotas; used by the goroutine that calls apply alone
	adopted      atomic.Pointer[time.Time] // when an instance that ran without quotas got some; nil if it started with them
	heard, known atomic.Int64              // instances at the last call of SetHeard
	isWhole      bool                      // whether whole quotas are used; used by the goroutine that calls SetHeard alone
}

// quotaShard holds the accounts whose hash has the shard's index as remainder.
type quotaShard struct {
	mu      sync.Mutex
	buckets *jyaccountquota.Buckets
}

// newAccountQuotas returns the quotas of an instance before its first configuration.
func newAccountQuotas(n *Node) *accountQuotas {
	var members memberCount
	q := &accountQuotas{
		node: n, countMembers: func(now time.Time) int { return members.count(now, n) },
		isApart: !n.usesStore() || n.settings.SignalPort == 0, isWhole: true,
	}
	for i := range q.shards {
		q.shards[i].buckets = jyaccountquota.New(jyaccountquota.Config{
			Start: n.started, MaxAccounts: maxCallers / quotaShards, IsApart: q.isApart,
			Random: rand.New(rand.NewPCG(uint64(n.boot), uint64(i))),
		})
	}
	q.table.Store(newAccountTable(nil, n.metrics))
	return q
}

func accountHash(name jynote.AccountName) jyaccountquota.Account {
	return jyaccountquota.Account(xxhash.Sum64String(string(name)))
}

func quotaOf(a *jynote.Account) jyaccountquota.Quota {
	return jyaccountquota.Quota{PerSecond: a.RequestsPerSecond, Burst: a.Burst}
}

func (q *accountQuotas) shardOf(a jyaccountquota.Account) *quotaShard {
	return &q.shards[a%quotaShards]
}

// apply sets the accounts of a configuration. The same list changes nothing: registrations of servers change the state often.
func (q *accountQuotas) apply(accounts []jynote.Account) {
	q.noteAdoption(time.Now(), accounts)
	if q.table.Load().isOf(accounts) {
		return
	}
	t := newAccountTable(accounts, q.node.metrics)
	q.table.Store(t)
	for i := range q.shards {
		shard := &q.shards[i]
		shard.mu.Lock()
		shard.buckets.SetQuotas(t.quotas)
		shard.mu.Unlock()
	}
}

// noteAdoption records when an instance that has run without quotas for adoptionTime gets some.
func (q *accountQuotas) noteAdoption(now time.Time, accounts []jynote.Account) {
	hasQuotas := slices.ContainsFunc(accounts, func(a jynote.Account) bool { return quotaOf(&a).IsLimited() })
	switch {
	case !hasQuotas && (q.withoutSince.IsZero() || q.IsInUse()):
		q.withoutSince = now
	case hasQuotas && !q.IsInUse() && !q.withoutSince.IsZero() && now.Sub(q.withoutSince) >= adoptionTime:
		q.adopted.Store(&now)
	}
}

// Admit counts a request of the account and returns true, or returns false and after how long the caller should come back.
func (q *accountQuotas) Admit(a *jynote.Account) (ok bool, retryAfter time.Duration) {
	quota := quotaOf(a)
	if !quota.IsLimited() {
		return true, 0
	}
	hash := accountHash(a.Name)
	shard := q.shardOf(hash)
	shard.mu.Lock()
	ok, retryAfter = shard.buckets.Admit(time.Now(), hash, quota)
	shard.mu.Unlock()
	q.table.Load().record(hash, ok)
	return ok, retryAfter
}

// Return takes back an admitted request that certainly did not run.
func (q *accountQuotas) Return(a *jynote.Account) {
	hash := accountHash(a.Name)
	shard := q.shardOf(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.buckets.Return(time.Now(), hash)
}

// IsInUse reports whether any account has a quota.
func (q *accountQuotas) IsInUse() bool { return len(q.table.Load().quotas) > 0 }

// HasUsage reports whether TakeUsage may return any.
func (q *accountQuotas) HasUsage() bool {
	out := false
	q.eachShard(func(b *jyaccountquota.Buckets) { out = out || b.HasUsage() })
	return out
}

// TakeUsage returns what this instance admitted since its last call.
func (q *accountQuotas) TakeUsage() []jyaccountquota.Usage {
	var out []jyaccountquota.Usage
	q.eachShard(func(b *jyaccountquota.Buckets) { out = append(out, b.TakeUsage()...) })
	return out
}

// Observe counts what other instances admitted age ago.
func (q *accountQuotas) Observe(now time.Time, list []jyaccountquota.Usage, age time.Duration) {
	for _, u := range list {
		shard := q.shardOf(u.Account)
		shard.mu.Lock()
		shard.buckets.Observe(now, u, age)
		shard.mu.Unlock()
	}
}

// SetHeard sets how many instances were heard within the last second, this one included.
func (q *accountQuotas) SetHeard(now time.Time, heard int) {
	known := q.countMembers(now)
	if adopted := q.adopted.Load(); adopted != nil && now.Sub(*adopted) < adoptionTime {
		heard = known
	}
	q.heard.Store(int64(heard))
	q.known.Store(int64(known))
	q.eachShard(func(b *jyaccountquota.Buckets) { b.SetCoverage(now, heard, known) })
	if !q.isApart {
		q.logContact(heard, known)
	}
}

// logContact logs when this instance begins or ends to use a part of the quotas.
func (q *accountQuotas) logContact(heard, known int) {
	isWhole := !q.IsInUse() || jyaccountquota.UsesWholeQuotas(heard, known)
	if isWhole == q.isWhole {
		return
	}
	q.isWhole = isWhole
	event := jylog.QuotasReduced
	if isWhole {
		event = jylog.QuotasWhole
	}
	event.LogAtMost(maxQuotaLogLines, heard, known)
}

// Run logs for which accounts refusals begin and end, until ctx ends. Without signals it also counts the instances that share quotas.
func (q *accountQuotas) Run(ctx context.Context) error {
	ticker := time.NewTicker(quotaLogInterval)
	defer ticker.Stop()
	for {
		if q.isApart {
			q.SetHeard(time.Now(), 1)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			q.logRefusals()
		}
	}
}

// logRefusals logs for which accounts refusals began or ended.
func (q *accountQuotas) logRefusals() {
	if !q.IsInUse() {
		return
	}
	now := time.Now()
	var changes []jyaccountquota.RefusalChange
	q.eachShard(func(b *jyaccountquota.Buckets) { changes = append(changes, b.TakeRefusalChanges(now)...) })
	names := q.table.Load().names
	for _, c := range changes {
		if c.Begins {
			jylog.AccountRefused.LogAtMost(maxQuotaLogLines, names[c.Account], c.Quota.PerSecond, c.Quota.Burst, c.Refused)
			continue
		}
		jylog.AccountServed.LogAtMost(maxQuotaLogLines, names[c.Account], c.Refused)
	}
}

// eachShard calls use with the buckets of each shard, one at a time.
func (q *accountQuotas) eachShard(use func(*jyaccountquota.Buckets)) {
	for i := range q.shards {
		shard := &q.shards[i]
		shard.mu.Lock()
		use(shard.buckets)
		shard.mu.Unlock()
	}
}
