package jynote

import (
	"math"
	"slices"
	"strings"
)

// MaxAccountNameBytes bounds the name of a client account, which backend servers get in a header.
const MaxAccountNameBytes = 256

// CheckAccounts returns the faults of a list of accounts that comes from another source than a release note. It allows all names
// that a header can carry. No fault quotes a key or its digest.
func CheckAccounts(list []Account) Faults {
	var fs Faults
	names := make(map[AccountName]bool, len(list))
	for _, a := range list {
		if !a.hasHeaderName() {
			fs.add("Accounts", "a name of 1 to 256 bytes without control characters and outer spaces", "an account has another name")
		}
		if names[a.Name] {
			fs.add("Accounts "+string(a.Name), "a name, once", "named twice")
		}
		names[a.Name] = true
		a.checkValues("Accounts "+string(a.Name), &fs)
	}
	checkKeys(list, &fs)
	return fs
}

// hasHeaderName reports whether the name can be the value of a header.
func (a Account) hasHeaderName() bool {
	name := string(a.Name)
	isControl := func(c rune) bool { return c < ' ' || c == 0x7f }
	return name != "" && len(name) <= MaxAccountNameBytes && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, isControl)
}

// validate adds the faults of the account in a release note.
func (a Account) validate(location string, fs *Faults) {
	if !namePattern.MatchString(string(a.Name)) {
		// The name is not quoted: it may be a key by mistake.
		fs.add(location+".Name", "1 to 128 letters, digits, dots, dashes and underscores", "another name")
	}
	a.checkValues(location, fs)
}

// checkValues adds the faults of the priority and the quota.
func (a Account) checkValues(location string, fs *Faults) {
	if a.Priority != nil {
		checkRange(location+".Priority", *a.Priority, 0, MaxPriority, fs)
	}
	checkQuota(location+".RequestsPerSecond", a.RequestsPerSecond, fs)
	checkQuota(location+".Burst", a.Burst, fs)
}

func checkQuota(location string, v float64, fs *Faults) {
	if !(v >= 0) || math.IsInf(v, 1) {
		fs.add(location, "0 or more", "%g", v)
	}
}

// checkKeys adds a fault for each account with a key that an earlier account has.
func checkKeys(list []Account, fs *Faults) {
	owners := make(map[KeyDigest]AccountName, len(list))
	for _, a := range list {
		var others []AccountName
		for _, d := range a.KeyDigests {
			owner, isTaken := owners[d]
			if !isTaken {
				owners[d] = a.Name
				continue
			}
			if owner != a.Name && !slices.Contains(others, owner) {
				others = append(others, owner)
				fs.add("Accounts "+string(a.Name), "keys that no other account has", "account %q has one of its keys", owner)
			}
		}
	}
}
