package jynode

import (
	"cmp"
	"slices"

	"github.com/jackdawyard/jackdawyard/internal/jymetric"
	"github.com/jackdawyard/jackdawyard/pkg/jyaccountquota"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// largestAccounts is the number of accounts that status and metrics show one by one.
const largestAccounts = 20

// accountTable holds the accounts of a configuration that have a quota. It does not change.
type accountTable struct {
	accounts []jynote.Account // the list that the table was made of
	quotas   map[jyaccountquota.Account]jyaccountquota.Quota
	names    map[jyaccountquota.Account]jynote.AccountName
	metrics  map[jyaccountquota.Account]jymetric.AccountMetrics // of the accounts with the largest quotas
	rest     jymetric.AccountMetrics
}

// newAccountTable returns the table of the accounts with a quota.
func newAccountTable(accounts []jynote.Account, metrics *jymetric.Metrics) *accountTable {
	t := &accountTable{
		accounts: accounts, quotas: map[jyaccountquota.Account]jyaccountquota.Quota{}, names: map[jyaccountquota.Account]jynote.AccountName{},
		metrics: map[jyaccountquota.Account]jymetric.AccountMetrics{}, rest: metrics.RestOfAccounts(),
	}
	var limited []jynote.Account
	for _, a := range accounts {
		if quota := quotaOf(&a); quota.IsLimited() {
			t.quotas[accountHash(a.Name)], t.names[accountHash(a.Name)] = quota, a.Name
			limited = append(limited, a)
		}
	}
	slices.SortStableFunc(limited, func(a, b jynote.Account) int { return cmp.Compare(b.RequestsPerSecond, a.RequestsPerSecond) })
	for _, a := range limited[:min(largestAccounts, len(limited))] {
		t.metrics[accountHash(a.Name)] = metrics.Account(a.Name)
	}
	return t
}

// isOf reports whether the table was made of this very list.
func (t *accountTable) isOf(accounts []jynote.Account) bool {
	if len(t.accounts) != len(accounts) {
		return false
	}
	return len(accounts) == 0 || &t.accounts[0] == &accounts[0]
}

// record counts a request of an account.
func (t *accountTable) record(a jyaccountquota.Account, isAdmitted bool) {
	m, ok := t.metrics[a]
	if !ok {
		m = t.rest
	}
	if isAdmitted {
		m.Admitted.Inc(1)
		return
	}
	m.Refused.Inc(1)
}
