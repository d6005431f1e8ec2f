package jymetric

import (
	tally "github.com/uber-go/tally/v4"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// maxAccountMetrics bounds the accounts with counters of their own. Later ones count as restOfAccounts.
const (
	maxAccountMetrics = 100
	restOfAccounts    = "other"
)

// AccountMetrics counts the requests of a client account with a quota.
type AccountMetrics struct {
	Admitted tally.Counter
	Refused  tally.Counter
}

// Account returns the counters of an account, or those of the rest if too many accounts have counters.
func (m *Metrics) Account(name jynote.AccountName) AccountMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, ok := m.accounts[name]; ok {
		return a
	}
	if len(m.accounts) >= maxAccountMetrics {
		return m.newAccountMetrics(restOfAccounts)
	}
	a := m.newAccountMetrics(string(name))
	m.accounts[name] = a
	return a
}

// RestOfAccounts returns the counters of the accounts without counters of their own.
func (m *Metrics) RestOfAccounts() AccountMetrics { return m.newAccountMetrics(restOfAccounts) }

func (m *Metrics) newAccountMetrics(name string) AccountMetrics {
	counter := func(result string) tally.Counter {
		return m.scope.Tagged(map[string]string{"account": name, "result": result}).Counter("account_requests")
	}
	return AccountMetrics{Admitted: counter("admitted"), Refused: counter("refused")}
}
