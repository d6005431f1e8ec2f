package jyaccount

import (
	"slices"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Refusal is the reason why a request is not authenticated: KeyMissing, KeyInvalid or KeyUnknown; empty if it is.
type Refusal = jyoutcome.Reason

// Table holds the client accounts of one state. It does not change, and may be used concurrently.
type Table struct {
	accounts []jynote.Account // sorted by name
	// byDigest leads to the accounts' places, since a pointer for each key would be work for the garbage collector.
	byDigest map[jynote.KeyDigest]int32
}

// NewTable returns the table of the accounts of a state.
func NewTable(s jynote.State) *Table {
	count := 0
	for _, a := range s.Accounts {
		count += len(a.KeyDigests)
	}
	t := &Table{accounts: s.Accounts, byDigest: make(map[jynote.KeyDigest]int32, count)}
	for i, a := range s.Accounts {
		for _, d := range a.KeyDigests {
			t.byDigest[d] = int32(i)
		}
	}
	return t
}

// IsOf reports whether the table was made of the same list of accounts as that of the state. It compares the place of the lists, not
// their entries, since it is called at each change of a registration.
func (t *Table) IsOf(s jynote.State) bool {
	if len(t.accounts) != len(s.Accounts) {
		return false
	}
	return len(t.accounts) == 0 || &t.accounts[0] == &s.Accounts[0]
}

// IsEmpty reports whether there is no account. Then keys have no meaning.
func (t *Table) IsEmpty() bool { return len(t.accounts) == 0 }

// Authenticate returns the account to which the only value of the key header belongs, or the reason why there is none. The key is
// looked up by its digest, so that the time that it takes depends on the digest and tells nothing about the keys in force.
func (t *Table) Authenticate(values []string) (*jynote.Account, Refusal) {
	if len(values) == 0 || (len(values) == 1 && values[0] == "") {
		return nil, jyoutcome.KeyMissing
	}
	if len(values) > 1 || !IsKey(values[0]) {
		return nil, jyoutcome.KeyInvalid
	}
	account := t.AccountOf(DigestOf(values[0]))
	if account == nil {
		return nil, jyoutcome.KeyUnknown
	}
	return account, ""
}

// AccountOf returns the account that lists the digest of a key, or nil if there is none.
func (t *Table) AccountOf(d jynote.KeyDigest) *jynote.Account {
	i, ok := t.byDigest[d]
	if !ok {
		return nil
	}
	return &t.accounts[i]
}

// Account returns the account of that name, or nil if there is none.
func (t *Table) Account(name jynote.AccountName) *jynote.Account {
	i, ok := slices.BinarySearchFunc(t.accounts, name, func(a jynote.Account, n jynote.AccountName) int {
		return strings.Compare(string(a.Name), string(n))
	})
	if !ok {
		return nil
	}
	return &t.accounts[i]
}
