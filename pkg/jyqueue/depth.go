package jyqueue

import (
	"math"
	"time"
)

// Work describes what the servers of a service work on.
type Work struct {
	// ServiceTime is the mean time that a server works on a request; 0 if it is not known yet.
	ServiceTime time.Duration
	// Objective is the latency up to which an answer has its full value; 0 means that there is none.
	Objective time.Duration
}

// minQueued is the number of requests that may wait in the queue of each server, at any rank. Loads are known with a delay;
// without a queue, a slot would stay idle for that time.
const minQueued = 1

// Unlimited is returned by MaxQueued if there is no limit.
const Unlimited = 1 << 20

// objectiveShare is the share of the objective that the expected wait in a server's queue may take: service times vary.
const objectiveShare = 0.6

// MaxQueued returns how many requests may be queued at a server with that many slots for a request to join them, where rank is the
// number of higher priorities in use; see Ranks. A request of rank 0 joins while it is expected to meet the objective. The number
// halves with each rank, which leaves the room to higher priorities at all instances without a message between them.
func MaxQueued(w Work, slots, rank int) int {
	if w.ServiceTime <= 0 || w.Objective <= 0 {
		return Unlimited
	}
	wait := float64(max(0, w.Objective-w.ServiceTime)) / float64(w.ServiceTime)
	return max(minQueued, int(math.Round(objectiveShare*wait*float64(slots)))>>min(max(0, rank), 30))
}

// MayJoin reports whether a request may join a server that holds load requests, as far as known, where at most maxQueued may be
// queued. At a server in another data centre a request takes only free slots: its load is known too late to share its queue.
func MayJoin(load, slots, maxQueued int, isRemote bool) bool {
	if isRemote {
		maxQueued = 0
	}
	return load-slots < maxQueued
}
