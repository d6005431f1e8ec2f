package jyqueue

import (
	"math"
	"slices"
	"time"
)

const (
	// sharesTime is the time constant with which requests lose weight.
	sharesTime = 2 * time.Second
	// maxShareAccounts bounds the accounts that are counted; requests of further ones are never over their share.
	maxShareAccounts = 512
	// minShareRequests is the decayed number of requests below which an account is not over its share.
	minShareRequests = 4
	// levelTolerance is the multiple of the level from which on an account is over its share: the counts of one instance are small.
	levelTolerance = 1.25
	// minCount is the decayed number of requests below which an account is forgotten.
	minCount = 0.05
)

// Shares divides what the servers run among the client accounts: those that ask for more than a level, which is the same for all, are
// over their share. The level is such that the requests up to it are as many as get a server. The zero value has no observations. It
// is not safe for concurrent use.
type Shares struct {
	asked     map[string]float64 // decayed numbers of requests by account, as of updatedAt
	admitted  float64            // decayed number of requests that got a server
	level     float64
	updatedAt time.Time
}

// Ask records a request of the account, and reports whether the account is over its share.
func (s *Shares) Ask(now time.Time, account string) bool {
	s.update(now)
	if _, isCounted := s.asked[account]; !isCounted && len(s.asked) >= maxShareAccounts {
		return false
	}
	s.asked[account]++
	return s.asked[account] > max(levelTolerance*s.level, minShareRequests)
}

// RecordAdmitted records that a request got a server.
func (s *Shares) RecordAdmitted(now time.Time) {
	s.update(now)
	s.admitted++
}

// shareInterval is how often the counts are decayed and the level is computed.
const shareInterval = 100 * time.Millisecond

func (s *Shares) update(now time.Time) {
	if s.asked == nil {
		s.asked, s.updatedAt, s.level = map[string]float64{}, now, math.Inf(1)
	}
	elapsed := now.Sub(s.updatedAt)
	if elapsed < shareInterval {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / sharesTime.Seconds())
	s.admitted *= factor
	for account, n := range s.asked {
		s.asked[account] = n * factor
		if n*factor < minCount {
			delete(s.asked, account)
		}
	}
	s.level, s.updatedAt = s.fairLevel(), now
}

// fairLevel returns the level up to which the requests of all accounts together are as many as were admitted. It is infinite if all
// were, or if there is only one account.
func (s *Shares) fairLevel() float64 {
	if len(s.asked) < 2 {
		return math.Inf(1)
	}
	counts := make([]float64, 0, len(s.asked))
	for _, n := range s.asked {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	left := s.admitted
	for i, n := range counts {
		others := float64(len(counts) - i)
		if n*others > left+minCount {
			return left / others
		}
		left -= n
	}
	return math.Inf(1)
}
