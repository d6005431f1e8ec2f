package jybackend

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jyfloor"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyslot"
	"github.com/jackdawyard/jackdawyard/pkg/jysubset"
)

// probationWeight is the share of a full load that a server on probation takes.
const probationWeight = 0.05

// passedOverFactor scales the weight of a server to which connections were lost just now.
const passedOverFactor = 0.02

// Service is this instance's view of one service and its backend servers.
type Service struct {
	Info    jynote.Service
	Servers []*Server // in the order in which this instance uses them
	latency *latency
	// byLoss says that servers are chosen by expected loss, as seen from dataCentre.
	byLoss     bool
	dataCentre string
	observer   Observer
	coverage   *coverage
	// centreNames and centreSizes tell of the data centres that have servers, and centreOf of the one of each server.
	centreNames []jynote.DataCentreName
	centreSizes []int
	centreOf    []int
	centres     *centres
	// view holds the seats that this instance uses, and all those of the whole service.
	view   atomic.Pointer[[]seat]
	all    atomic.Pointer[[]seat]
	plan   func(servers, connections int) jysubset.Plan
	most   atomic.Int32 // requests in flight at one server
	mu     sync.Mutex   // guards what follows
	budget *jyretry.Budget
	room   jyplace.ShedModel
	slack  func() float64
	fleet  []jydetector.Verdict
	local  []jydetector.Verdict
}

// seat is a server with its standing; a view of seats is immutable.
type seat struct {
	server   *Server
	standing jyfloor.HealthState
	since    time.Time
	until    time.Time
	// readmitted servers take full load in spite of their standing, to hold the floor.
	readmitted bool
}

// TailLatency returns the 99th percentile of the service's answers as this instance sees them.
func (v *Service) TailLatency() time.Duration { return v.latency.tailValue() }

// CreditSuccess lets the service's retry budget grow by one answered request.
func (v *Service) CreditSuccess() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget.CreditSuccess()
}

// TakeRetry takes one retry from the service's budget and reports whether there was one.
func (v *Service) TakeRetry() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shareSlack()
	return v.budget.Take(time.Now())
}

// HasAmpleRetries reports whether the budget allows to take the risk of a retry.
func (v *Service) HasAmpleRetries() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shareSlack()
	return v.budget.IsHalfFull(time.Now())
}

// shareSlack adapts the budget to the number of instances; the caller holds mu.
func (v *Service) shareSlack() {
	if slack := v.slack(); slack > 0 {
		v.budget.SetSlack(slack)
	}
}

// Requirements says what a request asks of a backend server.
type Requirements struct {
	Idempotent bool
	Exclude    []*Server // tried already
	// Objective is the latency up to which the answer is worth most.
	Objective time.Duration
	// IsRetryable says that the request may be sent to another server if this one fails it.
	IsRetryable bool
}

// Placement is the backend server that was chosen for an attempt.
type Placement struct {
	Server *Server
	// Load is the number of requests that the server held before, as far as known here.
	Load int
	// FailChance is the chance to fail that was believed when the server was chosen.
	FailChance float64
	// IsTrial says that the server was chosen since it got no request for long.
	IsTrial bool
}

// hasSlot reports whether a slot seemed free, so that the request was worked on at once.
func (p Placement) hasSlot() bool { return p.Load < p.Server.Info.Slots }

// Choose picks a backend server and counts the request in flight there until Release; its error is of kind NoServer.
func (v *Service) Choose(now time.Time, n Requirements) (Placement, error) {
	if v.byLoss {
		return v.chooseByLoss(now, n)
	}
	seats := *v.view.Load()
	at := func(i int) jyslot.Candidate { return seats[i].candidate(now, n, v.limit(seats[i].server)) }
	// A few tries settle the races for the last place at a server.
	for range 3 {
		i := jyslot.Choose(len(seats), at, rand.Uint64(), rand.Uint64())
		if i == jyslot.None {
			break
		}
		s := seats[i].server
		if int(s.inFlight.Add(1)) <= v.limit(s) {
			return Placement{Server: s}, nil
		}
		s.inFlight.Add(-1)
	}
	return Placement{}, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
}

// TimeUntilAvailable returns how long until the first server takes requests again where all that do not leave asked for a pause, else 0.
func (v *Service) TimeUntilAvailable(now time.Time) time.Duration {
	first := time.Duration(0)
	for _, s := range v.Servers {
		if s.IsDraining(now) {
			continue
		}
		d := s.PauseRemaining(now)
		if d == 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first
}

// Release ends a request that Choose counted.
func (s *Server) Release() { s.inFlight.Add(-1) }

// limit returns how many requests of this instance may be in flight at the server.
func (v *Service) limit(s *Server) int { return min(s.Info.Slots, int(v.most.Load())) }

func (s seat) candidate(now time.Time, n Requirements, limit int) jyslot.Candidate {
	c := jyslot.Candidate{Slots: s.server.Info.Slots, InFlight: s.server.InFlight(), Limit: limit}
	if n.excludes(s.server) {
		return c
	}
	c.Weight = s.weight(now, n.Idempotent)
	if s.server.isPassedOver(now) {
		c.Weight *= passedOverFactor
	}
	return c
}

func (s seat) weight(now time.Time, idempotent bool) float64 {
	if s.standing == jyfloor.Draining || s.server.isClosed(now) {
		return 0
	}
	if s.readmitted {
		return 1
	}
	switch s.standing {
	case jyfloor.Serving:
		return 1
	case jyfloor.Cold:
		return jydetector.ColdWeight(now, s.since, s.until)
	case jyfloor.Probation:
		if idempotent && rand.Float64() < probationWeight {
			return 1
		}
	}
	return 0
}

// SetFleetVerdicts replaces what the fleet finds of the servers.
func (v *Service) SetFleetVerdicts(list []jydetector.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet = list
	v.refresh()
}

// SetLocalVerdicts replaces what this instance alone finds of the servers.
func (v *Service) SetLocalVerdicts(list []jydetector.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.local = list
	v.refresh()
}

// Verdicts returns what the fleet and this instance find of the servers.
func (v *Service) Verdicts() (fleet, local []jydetector.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet, v.local
}

// refresh builds the view anew; the caller holds mu.
func (v *Service) refresh() {
	seats := make([]seat, 0, len(v.Servers))
	weighed := make([]jyfloor.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		st, score := standingOf(s, v.fleet, v.local)
		seats = append(seats, st)
		weighed = append(weighed, jyfloor.Server{Slots: s.Info.Slots, State: st.standing, Score: score})
	}
	for _, i := range jyfloor.Readmit(weighed, v.Info.Floor) {
		seats[i].readmitted = true
	}
	v.all.Store(&seats)
	v.choosePart(seats)
}

// choosePart keeps the first seats that take full load, as many as the plan says, and whatever stands between them.
func (v *Service) choosePart(seats []seat) {
	if len(seats) == 0 {
		v.view.Store(&seats)
		return
	}
	if v.byLoss {
		v.shareConnections(seats)
		v.view.Store(&seats)
		return
	}
	plan := v.plan(len(seats), v.fewestConnections())
	v.most.Store(int32(plan.Connections))
	full := 0
	part := make([]seat, 0, plan.Servers)
	for _, s := range seats {
		if full == plan.Servers {
			break
		}
		if s.standing == jyfloor.Serving || s.readmitted {
			full++
		}
		s.server.Pool.SetMaxOpen(plan.Connections)
		part = append(part, s)
	}
	v.view.Store(&part)
}

// shareConnections lets this instance use all servers, with its part of the connections of each.
func (v *Service) shareConnections(seats []seat) {
	for _, s := range seats {
		plan := v.plan(1, s.server.Info.Connections)
		s.server.Pool.SetMaxOpen(plan.Connections)
	}
}

func (v *Service) fewestConnections() int {
	fewest := v.Servers[0].Info.Connections
	for _, s := range v.Servers {
		fewest = min(fewest, s.Info.Connections)
	}
	return fewest
}
