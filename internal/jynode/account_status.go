package jynode

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// AccountsStatus is the state of the client accounts with a quota that were in use.
type AccountsStatus struct {
	// Heard is the number of instances that were heard within the last second, this one included, and Known those that share the quotas.
	Heard, Known int64
	Largest      []AccountStatus // those with the most requests at this instance, the largest first
	Rest         AccountsRest
}

// AccountStatus is the state of a client account with a quota.
type AccountStatus struct {
	Account           jynote.AccountName
	RequestsPerSecond float64 // the quota, over all instances
	Burst             float64
	// Level is the number of requests that may run at once; below 0 while more were admitted than the quota allows.
	Level    float64
	Admitted uint64 // by this instance since its start
	Refused  uint64 // by this instance since its start
}

// AccountsRest sums up the client accounts that are not listed.
type AccountsRest struct {
	Accounts int
	Admitted uint64
	Refused  uint64
}

// status returns the state of the accounts in use, or nil if no account has a quota.
func (q *accountQuotas) status() *AccountsStatus {
	if !q.IsInUse() {
		return nil
	}
	now := time.Now()
	var states []jyaccountquota.State
	q.eachShard(func(b *jyaccountquota.Buckets) { states = append(states, b.States(now)...) })
	slices.SortFunc(states, func(a, b jyaccountquota.State) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), cmp.Compare(a.Account, b.Account))
	})
	names := q.table.Load().names
	out := &AccountsStatus{Heard: q.heard.Load(), Known: q.known.Load()}
	for _, s := range states {
		name, isListed := names[s.Account]
		if !isListed || len(out.Largest) == largestAccounts {
			out.Rest.Accounts++
			out.Rest.Admitted += s.Admitted
			out.Rest.Refused += s.Refused
			continue
		}
		out.Largest = append(out.Largest, AccountStatus{
			Account: name, RequestsPerSecond: s.Quota.PerSecond, Burst: s.Quota.Burst, Level: jybackend.RoundToThousandths(s.Level),
			Admitted: s.Admitted, Refused: s.Refused,
		})
	}
	return out
}
