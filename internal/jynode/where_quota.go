package jynode

import (
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// level returns how many requests of the account may run at once, and takes none. It returns false if the account was not used lately,
// so that its quota is not used up.
func (q *accountQuotas) level(now time.Time, a *jynote.Account) (float64, bool) {
	hash := accountHash(a.Name)
	shard := q.shardOf(hash)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for _, s := range shard.buckets.States(now) {
		if s.Account == hash {
			return jybackend.RoundToThousandths(s.Level), true
		}
	}
	return 0, false
}
