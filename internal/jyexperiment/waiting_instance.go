package jyexperiment

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
	"github.com/jackdawyard/jackdawyard/pkg/jyqueue"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyreturn"
)

// waitingInstance is one instance with what it knows.
type waitingInstance struct {
	centre      int
	unreported  []int // changes of its own load at each server that the others don't know yet
	fullUntil   []time.Time
	shedModel   jyplace.ShedModel
	willingness jyplace.Willingness
	budget      *jyretry.Budget
	ration      jyretry.Ration
	planner     jyreturn.Planner
	pressure    jyqueue.Pressure
	shares      []jyqueue.Shares // by priority
	queue       *jyqueue.Queue
	queued      map[uint64]*waitingVisit
	isPolling   bool
	isKilled    bool
}

func (s *waitingSim) newInstance(centre int) *waitingInstance {
	c := s.config
	return &waitingInstance{
		centre: centre, unreported: make([]int, c.Servers), fullUntil: make([]time.Time, c.Servers),
		budget: jyretry.NewBudget(jyretry.BudgetConfig{
			Share: c.RetryShare, Slack: c.RetrySlack / float64(c.Instances), Window: retryBudgetWindow,
		}),
		queue:  jyqueue.New(jyqueue.Config{MaxRequests: jyqueue.DefaultMaxRequests, MaxBytes: jyqueue.DefaultMaxBytes}),
		shares: make([]jyqueue.Shares, c.Priorities),
		queued: map[uint64]*waitingVisit{},
	}
}

// likelyGray is the chance of being gray from which on a server counts as likely gray.
const likelyGray = 0.5

// retryBudgetWindow is the window of the slack of the retry budget.
const retryBudgetWindow = 10 * time.Second

// loadOf returns the load of a server as the instance knows it.
func (s *waitingSim) loadOf(n *waitingInstance, server int) int {
	if s.config.Policy == WaitingTruth {
		return s.servers[server].inFlight
	}
	return max(0, s.known[n.centre][server]+n.unreported[server], s.views[server])
}

// reportedLoad returns the load of a server without the last view where the instance's data centre is told of each request.
func (s *waitingSim) reportedLoad(n *waitingInstance, server int) int {
	if server%s.config.Centres != n.centre {
		return s.loadOf(n, server)
	}
	return max(0, s.known[n.centre][server]+n.unreported[server])
}

// changeLoad changes the instance's load at the server. The instances of its data centre and those of the server's learn of it after
// ReportDelay.
func (s *waitingSim) changeLoad(n *waitingInstance, server, change int) {
	if n.isKilled {
		return
	}
	n.unreported[server] += change
	s.after(s.config.ReportDelay, func() {
		n.unreported[server] -= change
		if n.isKilled {
			return
		}
		s.known[n.centre][server] += change
		if other := server % s.config.Centres; other != n.centre {
			s.known[other][server] += change
		}
	})
}

// shareViews gives all data centres the load of all servers, each ViewInterval.
func (s *waitingSim) shareViews() {
	for i := range s.servers {
		s.views[i] = s.servers[i].inFlight
	}
	if s.now < s.config.RunDuration {
		s.after(s.config.ViewInterval, s.shareViews)
	}
}

// capacity returns the capacity as the instance knows it.
func (s *waitingSim) capacity(n *waitingInstance) jyreturn.Capacity {
	out := jyreturn.Capacity{ServiceTime: s.config.MeanServiceTime, Instances: s.config.Instances}
	for i := range s.servers {
		if s.model.GrayChance(s.servers[i].belief, s.wallTime()) >= likelyGray {
			continue
		}
		out.Slots += s.config.Slots
		out.Free += max(0, s.config.Slots-s.loadOf(n, i))
	}
	return out
}

// shedChance returns the chance that the server sheds a request, as the instance knows it.
func (s *waitingSim) shedChance(n *waitingInstance, server, load int) float64 {
	full := n.shedModel.ShedChance(float64(load), s.config.Slots)
	if s.wallTime().Before(n.fullUntil[server]) {
		full = max(full, 0.5)
	}
	if !s.rules.tellsUnwilling {
		return full
	}
	return 1 - (1-full)*(1-n.willingness.ShedChance(s.wallTime()))
}

// recordShed records that a server shed the attempt.
func (s *waitingSim) recordShed(n *waitingInstance, a *waitingAttempt) {
	now := s.wallTime()
	n.shedModel.RecordShed(a.load, s.config.Slots)
	if s.rules.tellsUnwilling && a.load < s.config.Slots {
		n.willingness.RecordShed(now)
		if n.willingness.IsUnwilling(now) {
			return
		}
	}
	n.fullUntil[a.server] = now.Add(200 * time.Millisecond)
}

// takeRetry takes a retry for the visit if the budget and its ration allow one.
func (s *waitingSim) takeRetry(v *waitingVisit) bool {
	now, n := s.wallTime(), v.instance
	if !s.rules.rationsRetries {
		return n.budget.Take(now)
	}
	meets := s.now-v.arrived+s.config.MeanServiceTime <= s.config.Objective
	return n.ration.Allows(now, jyretry.RankOf(v.request.priority, meets), n.budget.Available(now)) && n.budget.Take(now)
}
