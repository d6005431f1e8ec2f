package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
	"github.com/jackdawyard/jackdawyard/pkg/jyqueue"
)

const (
	// overShareDivisor divides the length of the queues that the requests of an account may join that is over its share.
	overShareDivisor = 2
	// reportLifetime is the number of mean service times after which the reported requests of an instance have ended. One that was
	// killed does not report that.
	reportLifetime = 4
)

// askShare records a request of an account that is about to be sent for the first time, and reports whether the account is over its
// share.
func (v *Service) askShare(now time.Time, r Requirements) bool {
	if r.Account == "" || len(r.Exclude) > 0 {
		return false
	}
	return v.overload.askShare(now, r.Priority, string(r.Account))
}

// recordAdmitted records that a request of an account got a server at its first attempt.
func (v *Service) recordAdmitted(now time.Time, r Requirements) {
	if r.Account == "" || len(r.Exclude) > 0 {
		return
	}
	v.overload.recordAdmitted(now, r.Priority)
}

// isRefused reports whether a request that would get the server must leave the room in its queue to others, since the service stays
// full: to higher priorities if several are in use, or to the other accounts if its account is over its share.
func (v *Service) isRefused(now time.Time, s *Server, r Requirements) bool {
	isOver := !v.mayJoin(now, s, r)
	isFull := v.overload.staysFull(now, isOver)
	_, competes := v.overload.rankOf(now, r.Priority)
	return isOver && isFull && (competes || r.isOverShare)
}

// leaveOutFull excludes the servers whose queues a request may not join, and those that are likely gray: a request that finds the
// others full is no reason to try these.
func (v *Service) leaveOutFull(now time.Time, s *Server, r Requirements, c jyplace.Candidate) jyplace.Candidate {
	c.IsExcluded = c.IsExcluded || s.health.grayChance(now) >= likelyGrayChance || !v.mayJoin(now, s, r)
	return c
}

// mayJoin reports whether a request may join those that are at the server.
func (v *Service) mayJoin(now time.Time, s *Server, r Requirements) bool {
	work := jyqueue.Work{ServiceTime: v.ServiceTime(), Objective: r.Objective}
	rank, _ := v.overload.rankOf(now, r.Priority)
	deepest := jyqueue.MaxQueued(work, s.Info.Slots, rank)
	if r.isOverShare {
		deepest /= overShareDivisor
	}
	return jyqueue.MayJoin(v.reportedLoad(now, s), s.Info.Slots, deepest, !v.isLocal(s))
}

// RecordPriority counts a request among those that compete for the service's servers.
func (v *Service) RecordPriority(now time.Time, priority int) {
	v.overload.recordPriority(now, priority)
}

// reportedLoad returns the load of a server. For one in this data centre it is the sum of what the instances report at once; the last
// view may hold requests that have ended since.
func (v *Service) reportedLoad(now time.Time, s *Server) int {
	if v.isLocal(s) {
		return s.InFlight() + s.peerLoads.inFlightSince(now.Add(-reportLifetime*v.ServiceTime()))
	}
	return s.load(now)
}
