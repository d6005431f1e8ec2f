package jyexperiment

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
	"github.com/jackdawyard/jackdawyard/pkg/jyqueue"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyreturn"
)

// handle sends the request of a visit to a server, lets it wait, or refuses it.
func (s *waitingSim) handle(v *waitingVisit) {
	if s.config.Policy == WaitingTruth {
		s.central = append(s.central, v)
		s.serveCentral()
		return
	}
	if v.attempts == 0 {
		v.isOverShare = v.instance.shares[v.request.priority].Ask(s.wallTime(), accountName(v.request.account))
	}
	if s.rules.waits && v.instance.queue.Len() > 0 && s.wait(v) {
		return
	}
	if i := s.choose(v); i != jyplace.None {
		s.attempt(v, i)
		return
	}
	if s.rules.waits && s.wait(v) {
		return
	}
	s.refuse(v, s.returnAfter(v, jyoutcome.Overloaded))
}

// waitPollInterval is how often an instance looks whether a waiting request can be sent.
const waitPollInterval = 4 * time.Millisecond

// wait puts the request of a visit into the instance's queue and reports whether it got a place.
func (s *waitingSim) wait(v *waitingVisit) bool {
	n, r := v.instance, v.request
	rate := s.capacity(n).RatePerInstance()
	ok := n.queue.Add(s.wallTime(), jyqueue.Request{
		ID: r.id, Account: accountName(r.account), Priority: r.priority, Deadline: s.at(min(r.deadline, v.arrived+s.config.Objective/2)),
	}, rate, s.config.MeanServiceTime)
	if !ok {
		return false
	}
	n.queued[r.id] = v
	s.pollQueue(n, 0)
	return true
}

func accountName(account int) string { return string(rune('A' + account)) }

// pollQueue sends those that wait at the instance while a server has room, and looks again later.
func (s *waitingSim) pollQueue(n *waitingInstance, delay time.Duration) {
	if n.isPolling {
		return
	}
	n.isPolling = true
	s.after(delay, func() {
		n.isPolling = false
		s.drainQueue(n)
		if n.queue.Len() > 0 {
			s.pollQueue(n, waitPollInterval)
		}
	})
}

func (s *waitingSim) drainQueue(n *waitingInstance) {
	now := s.wallTime()
	for _, r := range n.queue.TakeExpired(now, s.config.MeanServiceTime/2) {
		v := n.queued[r.ID]
		delete(n.queued, r.ID)
		if !v.isOver() {
			s.refuse(v, s.returnAfter(v, jyoutcome.Overloaded))
		}
	}
	for {
		r, ok := n.queue.Next(now, 0)
		if !ok {
			return
		}
		v := n.queued[r.ID]
		if v.isOver() {
			n.queue.Remove(r.ID)
			delete(n.queued, r.ID)
			continue
		}
		i := s.choose(v)
		if i == jyplace.None {
			return
		}
		n.queue.Serve(now, r)
		delete(n.queued, r.ID)
		s.attempt(v, i)
	}
}

// choose returns the server for the next attempt, or None.
func (s *waitingSim) choose(v *waitingVisit) int {
	n, now := v.instance, s.wallTime()
	request := jyplace.Request{
		ServiceTime: s.config.MeanServiceTime, Objective: s.config.Objective,
		IsRetryable: v.attempts+1 < jyretry.MaxAttempts && n.budget.IsHalfFull(now),
	}
	if !s.rules.placesByLoss {
		return s.leastBusy(v)
	}
	isDue := s.dueTrials(now, n.centre, request.IsRetryable)
	i := s.chooseByLoss(v, request, isDue, false)
	if !s.rules.limitsDepth || i == jyplace.None || isDue[i] {
		return i
	}
	isOver := !s.mayJoin(v, i)
	n.pressure.Record(now, isOver)
	if !isOver || !n.pressure.IsFull(now) {
		return i
	}
	return s.chooseByLoss(v, request, isDue, true)
}

// mayJoin reports whether the request may join the queue of the server.
func (s *waitingSim) mayJoin(v *waitingVisit, server int) bool {
	work := jyqueue.Work{ServiceTime: s.config.MeanServiceTime, Objective: s.config.Objective}
	deepest := jyqueue.MaxQueued(work, s.config.Slots, v.request.priority)
	if s.rules.sharesAccounts && v.isOverShare {
		deepest /= 2
	}
	isRemote := server%s.config.Centres != v.instance.centre
	return jyqueue.MayJoin(s.reportedLoad(v.instance, server), s.config.Slots, deepest, isRemote)
}

// chooseByLoss returns the server with the lowest expected loss, or None. If it is limited, servers whose queues the request may not
// join, and those that are likely gray, are left out.
func (s *waitingSim) chooseByLoss(v *waitingVisit, request jyplace.Request, isDue []bool, isLimited bool) int {
	n, now := v.instance, s.wallTime()
	return jyplace.Choose(len(s.servers), func(i int) jyplace.Candidate {
		x, load := &s.servers[i], s.loadOf(n, i)
		c := jyplace.Candidate{
			InFlight: float64(load), Slots: s.config.Slots, Slowdown: 1, IsExcluded: slices.Contains(v.tried, i), IsDueTrial: isDue[i],
			IdleTime: now.Sub(x.lastUsed),
		}
		if isLimited && (s.model.GrayChance(x.belief, now) >= likelyGray || !s.mayJoin(v, i)) {
			c.IsExcluded = true
		}
		if c.IsExcluded {
			return c
		}
		c.FailChance, c.ShedChance = s.model.FailChance(x.belief, now), s.shedChance(n, i, load)
		if i%s.config.Centres != n.centre {
			c.DistanceCost = 0.05
		}
		return c
	}, request, s.random.Float64)
}

// leastBusy returns the server with the lowest known load, or None if the policy refuses the request.
func (s *waitingSim) leastBusy(v *waitingVisit) int {
	best, lowest := jyplace.None, 0
	first := s.random.IntN(len(s.servers))
	for k := range s.servers {
		i := (first + k) % len(s.servers)
		if slices.Contains(v.tried, i) {
			continue
		}
		if load := s.loadOf(v.instance, i); best == jyplace.None || load < lowest {
			best, lowest = i, load
		}
	}
	deepest := s.config.Slots + s.config.QueueLength/(1+v.request.priority)
	if s.rules.byPriorityOnly && lowest >= deepest {
		return jyplace.None
	}
	return best
}

// dueTrials reports for each server of the data centre whether a trial of it is due.
func (s *waitingSim) dueTrials(now time.Time, centre int, isRetryable bool) []bool {
	out := make([]bool, len(s.servers))
	rule := s.coverage.RuleAt(now)
	var idle []jyplace.IdleServer
	groups := make([]int, s.config.Centres)
	for i := range s.servers {
		x := &s.servers[i]
		groups[i%s.config.Centres]++
		if i%s.config.Centres != centre || !rule.IsIdle(now, x.lastUsed, isRetryable) {
			continue
		}
		idle = append(idle, jyplace.IdleServer{
			Index: i, FailChance: s.model.FailChance(x.belief, now), IsInBackoff: rule.IsInBackoff(now, x.lastUsed, x.belief.LastFailure()),
		})
	}
	for _, x := range rule.DueTrials(idle, groups, centre) {
		out[x.Index] = true
	}
	return out
}

// attempt sends the request to the server, which sheds, fails, queues or serves it.
func (s *waitingSim) attempt(v *waitingVisit, i int) {
	x := &s.servers[i]
	a := &waitingAttempt{visit: v, server: i, sent: s.wallTime(), load: s.loadOf(v.instance, i)}
	if v.attempts == 0 {
		v.instance.shares[v.request.priority].RecordAdmitted(s.wallTime())
	}
	v.attempts++
	v.tried = append(v.tried, i)
	x.lastUsed = s.wallTime()
	s.changeLoad(v.instance, i, 1)
	isUnwilling := s.config.Unwilling.contains(s.now) && s.random.Float64() < s.config.UnwillingChance
	if s.config.Policy == WaitingTruth {
		isUnwilling = false
	}
	switch {
	case isUnwilling || (x.busySlots >= s.config.Slots && len(x.waiting) >= s.config.QueueLength):
		s.after(s.config.RefusalLatency, func() { s.shed(a) })
	case s.isFailing(i) && s.random.Float64() < grayFailureRate:
		x.inFlight++
		s.after(grayFailureDelay, func() {
			x.inFlight--
			s.failed(a, jybelief.FailedEarly)
		})
	case x.busySlots < s.config.Slots:
		x.inFlight++
		x.busySlots++
		s.serve(a)
	default:
		x.inFlight++
		x.waiting = append(x.waiting, a)
	}
}

// failingTurn is how long each third of the servers fails.
const failingTurn = 3 * time.Second

func (s *waitingSim) isFailing(server int) bool {
	if !s.config.Failing.contains(s.now) {
		return false
	}
	return server/s.config.Centres%3 == int((s.now-s.config.Failing.From)/failingTurn)%3
}

// serve serves an attempt in a slot that the caller has marked as busy.
func (s *waitingSim) serve(a *waitingAttempt) {
	d := time.Duration(float64(s.config.MeanServiceTime) * math.Exp(latencySigma*s.random.NormFloat64()-latencySigma*latencySigma/2))
	s.after(d, func() {
		s.leaveSlot(a.server)
		s.answered(a)
	})
}

// leaveSlot frees a slot and serves the next in the server's queue. Those whose deadline has passed are dropped.
func (s *waitingSim) leaveSlot(server int) {
	x := &s.servers[server]
	x.busySlots--
	x.inFlight--
	for len(x.waiting) > 0 {
		next := x.waiting[0]
		x.waiting = x.waiting[1:]
		if next.visit.isOver() {
			x.inFlight--
			s.changeLoad(next.visit.instance, server, -1)
			continue
		}
		x.busySlots++
		s.serve(next)
		break
	}
	if s.config.Policy == WaitingTruth {
		s.serveCentral()
	}
}

func (s *waitingSim) answered(a *waitingAttempt) {
	n := a.visit.instance
	s.changeLoad(n, a.server, -1)
	s.observe(a, jybelief.Answered)
	n.shedModel.RecordAccepted(a.load, s.config.Slots)
	if a.load < s.config.Slots {
		n.willingness.RecordAccepted(s.wallTime())
	}
	if !a.visit.isOver() {
		n.budget.CreditSuccess()
		n.ration.Credit(s.wallTime(), s.config.RetryShare)
		s.coverage.Observe(s.wallTime(), 1, 0)
		s.end(a.visit.request, true)
	}
	if n.queue.Len() > 0 {
		s.drainQueue(n)
	}
}

func (s *waitingSim) observe(a *waitingAttempt, o jybelief.Outcome) {
	x := &s.servers[a.server]
	if !x.belief.IgnoresOutcome(a.sent, o) {
		s.after(s.config.ReportDelay, func() { x.belief = s.model.Observe(x.belief, s.wallTime(), s.wallTime(), o) })
	}
}

func (s *waitingSim) shed(a *waitingAttempt) {
	s.changeLoad(a.visit.instance, a.server, -1)
	s.recordShed(a.visit.instance, a)
	s.retryOrRefuse(a, jyoutcome.DeclaredNotRun)
}

func (s *waitingSim) failed(a *waitingAttempt, o jybelief.Outcome) {
	s.changeLoad(a.visit.instance, a.server, -1)
	s.observe(a, o)
	s.retryOrRefuse(a, jyoutcome.ServerError)
}

// retryOrRefuse makes another attempt if the budget allows one. A server error is passed on to the caller, who does not come back.
func (s *waitingSim) retryOrRefuse(a *waitingAttempt, reason jyoutcome.Reason) {
	v := a.visit
	if v.isOver() {
		return
	}
	left := v.request.deadline - s.now
	least := time.Duration(0)
	if s.rules.rationsRetries || reason == jyoutcome.ServerError {
		least = s.config.MeanServiceTime / 2
	}
	if s.config.Policy == WaitingTruth || (v.attempts < jyretry.MaxAttempts && left > least && s.takeRetry(v)) {
		s.result.retries++
		s.handle(v)
		return
	}
	if reason == jyoutcome.ServerError {
		s.refuse(v, 0)
		return
	}
	s.refuse(v, s.returnAfter(v, reason))
}

// returnAfter returns the time that the caller of a refused visit is told.
func (s *waitingSim) returnAfter(v *waitingVisit, reason jyoutcome.Reason) time.Duration {
	if !s.rules.plansReturns {
		return time.Second
	}
	return v.instance.planner.After(s.wallTime(), jyreturn.Refused{
		Reason: reason, Idempotent: true, Remaining: v.request.deadline - s.now,
	}, s.capacity(v.instance), s.random.Float64())
}

// serveCentral sends the requests in the queue for all instances to free slots of servers that don't fail: by priority, then by
// deadline, among those that can meet their deadline.
func (s *waitingSim) serveCentral() {
	for i := range s.servers {
		x := &s.servers[i]
		for x.busySlots < s.config.Slots && !s.isFailing(i) {
			v := s.takeCentral()
			if v == nil {
				return
			}
			s.attempt(v, i)
		}
	}
}

func (s *waitingSim) takeCentral() *waitingVisit {
	best := -1
	s.central = slices.DeleteFunc(s.central, func(v *waitingVisit) bool {
		return v.isOver() || s.now+s.config.MeanServiceTime > v.request.deadline
	})
	for i, v := range s.central {
		if best < 0 || s.isBefore(v, s.central[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	v := s.central[best]
	s.central = slices.Delete(s.central, best, best+1)
	return v
}

// isBefore reports whether a comes before b at a server that knows all: those that can meet their objective first.
func (s *waitingSim) isBefore(a, b *waitingVisit) bool {
	late := func(v *waitingVisit) bool {
		return s.now+s.config.MeanServiceTime > v.request.arrived+s.config.Objective
	}
	if a.request.priority != b.request.priority {
		return a.request.priority < b.request.priority
	}
	if late(a) != late(b) {
		return late(b)
	}
	return a.request.deadline < b.request.deadline
}
