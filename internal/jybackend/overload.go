package jybackend

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
	"github.com/jackdawyard/jackdawyard/pkg/jyqueue"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyreturn"
)

// overload holds what decides about the requests of one service while its servers can't or won't run all of them. It is kept when the
// state changes, and is safe for concurrent use.
type overload struct {
	mu          sync.Mutex
	ration      jyretry.Ration
	willingness jyplace.Willingness
	planner     jyreturn.Planner
	pressure    jyqueue.Pressure
	ranks       jyqueue.Ranks
	shares      [sharedPriorities]jyqueue.Shares // by priority
}

// sharedPriorities is the number of priorities within which accounts get shares of their own; lower ones share with the last.
const sharedPriorities = 8

// sharesOf returns the shares of the accounts within a priority. The caller must hold mu.
func (o *overload) sharesOf(priority int) *jyqueue.Shares {
	return &o.shares[min(max(0, priority), sharedPriorities-1)]
}

// askShare counts a request of an account and reports whether the account is over its share.
func (o *overload) askShare(now time.Time, priority int, account string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sharesOf(priority).Ask(now, account)
}

// recordAdmitted counts a request that got a server.
func (o *overload) recordAdmitted(now time.Time, priority int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sharesOf(priority).RecordAdmitted(now)
}

// creditRetries records that the retry budget gained so many retries.
func (o *overload) creditRetries(now time.Time, retries float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ration.Credit(now, retries)
}

// allowsRetry reports whether a request of the rank may have one of the available retries.
func (o *overload) allowsRetry(now time.Time, rank jyretry.Rank, available float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ration.Allows(now, rank, available)
}

// unwillingChance returns the chance, from 0 to 1, that a server sheds a request although it has a free slot.
func (o *overload) unwillingChance(now time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.willingness.ShedChance(now)
}

// recordFreeSlot records whether a server with a free slot shed a request, and reports whether the servers are unwilling.
func (o *overload) recordFreeSlot(now time.Time, isShed bool) (isUnwilling bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isShed {
		o.willingness.RecordShed(now)
	} else {
		o.willingness.RecordAccepted(now)
	}
	return o.willingness.IsUnwilling(now)
}

// returnAfter returns after how long the caller of a refused request should come back.
func (o *overload) returnAfter(now time.Time, r jyreturn.Refused, c jyreturn.Capacity) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner.After(now, r, c, rand.Float64())
}

// recordPriority counts a request of the priority.
func (o *overload) recordPriority(now time.Time, priority int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranks.Record(now, priority)
}

// rankOf returns how many higher priorities are in use, and whether any other one is.
func (o *overload) rankOf(now time.Time, priority int) (rank int, competes bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ranks.RankOf(now, priority)
}

// isFull reports whether staysFull would be true, and records nothing.
func (o *overload) isFull(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pressure.IsFull(now)
}

// staysFull records whether the best server for a request had a queue that it may not join, and reports whether that has been so for
// many requests.
func (o *overload) staysFull(now time.Time, isOver bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pressure.Record(now, isOver)
	return o.pressure.IsFull(now)
}
