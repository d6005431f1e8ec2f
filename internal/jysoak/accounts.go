package jysoak

import (
	"fmt"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

const (
	// revocationBound is Revoke of the platform's users.
	revocationBound = 5 * time.Second
	accountCount    = 4
	// Keys are numbered from 1 on, and taken away in order. The last permanentKeys are never taken away.
	keyCount      = 80
	permanentKeys = 8
	// revokedShare is the share of requests whose key is one of the recentKeys that were taken away last, or the next one.
	revokedShare = 0.5
	recentKeys   = 3
)

// keyText returns the key with that number.
func keyText(key int) string { return fmt.Sprintf("soak-key-%d", key) }

// accountOf returns the name of the account that the key with that number belongs to.
func accountOf(key int) string { return fmt.Sprintf("account-%d", key%accountCount) }

// accountsWithout returns all accounts without the first removed keys.
func accountsWithout(removed int) []jyhoststandin.Account {
	out := make([]jyhoststandin.Account, accountCount)
	for key := 1; key <= keyCount; key++ {
		a := &out[key%accountCount]
		a.Name = accountOf(key)
		if key > removed {
			a.Keys = append(a.Keys, keyText(key))
		}
	}
	return out
}

// accounts returns the accounts of a version of the configuration, none unless keys are taken away.
func (s *soak) accounts(c configuration) []jyhoststandin.Account {
	if !s.config.Revocations {
		return nil
	}
	return accountsWithout(c.removed)
}

// removeKey publishes the next version, without the next key.
func (s *soak) removeKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.published[len(s.published)-1]
	if last.removed == keyCount-permanentKeys {
		return
	}
	next := last
	next.version += versionIncrement
	next.removed++
	s.published = append(s.published, next)
	s.put(next)
	s.removed = append(s.removed, time.Since(s.started))
}

// drawKey returns the number of a key for a request, 0 if there are no accounts. Both arguments are random, from 0 to below 1.
func (s *soak) drawKey(which, key float64) int {
	if !s.config.Revocations {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := len(s.removed)
	if which < revokedShare {
		first := max(1, removed+1-recentKeys)
		return first + int(key*float64(removed+2-first))
	}
	return keyCount - int(key*permanentKeys)
}
