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
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyslot"
	"github.com/jackdawyard/jackdawyard/pkg/jysubset"
)

// probationShare is the share of idempotent requests for which a server on probation is a candidate.
const probationShare = 0.05

// skippedWeightFactor is the factor on the weight of a server that is skipped as unreachable.
const skippedWeightFactor = 0.02

// Service is this instance's view of one service and its backend servers.
type Service struct {
	Info    jynote.Service
	Servers []*Server // in the order in which this instance prefers them
	latency *latency
	// byExpectedLoss says that servers are chosen by expected loss, as seen from dataCentre.
	byExpectedLoss bool
	dataCentre     string
	observer       Observer
	coverage       *coverage
	distance       *distance // nil where traffic between data centres has no price
	traffic        *trafficCounters
	reach          *reach
	overload       *overload
	// centreNames lists the data centres that have servers, by name, and centreSizes the number of servers of each. centreOf
	// holds the index of each server's data centre.
	centreNames []jynote.DataCentreName
	centreSizes []int
	centreOf    []int
	fixedCosts  []float64 // of a request to each data centre, where traffic has no price
	contacts    *centreContacts
	// subset holds the assessments of the servers that this instance uses, and assessments those of all servers.
	subset      atomic.Pointer[[]assessment]
	assessments atomic.Pointer[[]assessment]
	plan        func(servers, connections int) jysubset.Plan // by the current number of instances
	maxInFlight atomic.Int32                                 // maximum number of this instance's requests at one server
	mu          sync.Mutex                                   // guards the fields below
	retryBudget *jyretry.Budget
	shedModel   jyplace.ShedModel
	returns     jyquota.Returns
	retrySlack  func() float64
	retryShare  float64 // number of retries that each answered request adds to the budget
	// countInstances returns the number of instances that share the backend servers.
	countInstances func() int
	fleetVerdicts  []jydetector.Verdict
	localVerdicts  []jydetector.Verdict
}

// assessment holds a server's health state. Lists of assessments are immutable once they are stored.
type assessment struct {
	server *Server
	state  jyfloor.HealthState
	since  time.Time
	until  time.Time
	// readmitted says that the server gets full load in spite of its state, to keep the floor.
	readmitted bool
}

// TailLatency returns the 99th percentile of the latency of the answers that this instance got from the service. It is 100 ms
// before the first answer.
func (v *Service) TailLatency() time.Duration { return v.latency.tailLatency() }

// CreditSuccess credits one answered request to the service's retry budget.
func (v *Service) CreditSuccess() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retryBudget.CreditSuccess()
	v.overload.creditRetries(time.Now(), v.retryShare)
}

// TakeRetry takes one retry from the service's retry budget for a request of that rank. It reports whether there was one that is not
// kept for requests of higher rank.
func (v *Service) TakeRetry(rank jyretry.Rank) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateSlack()
	now := time.Now()
	return v.overload.allowsRetry(now, rank, v.retryBudget.Available(now)) && v.retryBudget.Take(now)
}

// IsRetryBudgetHalfFull reports whether at least half of the retry budget is left, so that a request may risk a retry.
func (v *Service) IsRetryBudgetHalfFull() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateSlack()
	return v.retryBudget.IsHalfFull(time.Now())
}

// updateSlack adapts the budget to the number of instances. The caller must hold mu.
func (v *Service) updateSlack() {
	if slack := v.retrySlack(); slack > 0 {
		v.retryBudget.SetSlack(slack)
	}
}

// Requirements holds the properties of a request that the choice of a backend server depends on.
type Requirements struct {
	// Idempotent says that the request may run more than once. If servers are not chosen by expected loss, only such requests
	// are sent to servers on probation.
	Idempotent bool
	// Exclude lists the servers that must not be chosen, such as those that were tried already.
	Exclude []*Server
	// Objective is the latency up to which the answer has its full value.
	Objective time.Duration
	// IsRetryable says that the request may be sent to another server if this one fails it.
	IsRetryable bool
	// Priority ranks the requests that compete for a server; 0 comes first.
	Priority int
	// Account is the name of the client account; empty if the request belongs to none.
	Account jynote.AccountName
	// isOverShare says that the account asks for more than its share of a full service.
	isOverShare bool
}

// Placement is the backend server that was chosen for an attempt. Only Server is set if servers are not chosen by expected loss.
type Placement struct {
	Server *Server
	// Load is the number of requests of all instances that were at the server before this one, as far as known.
	Load int
	// FailChance is the estimated chance of failure, from 0 to 1, when the server was chosen.
	FailChance float64
	// IsTrial says that the server was chosen because a trial of it was due.
	IsTrial bool
}

// hasSlot reports whether the server had a free slot as far as known, so that the request did not wait for one.
func (p Placement) hasSlot() bool { return p.Load < p.Server.Info.Slots }

// maxChoices is how often a server is chosen for one attempt: other requests may meanwhile bring the chosen one to its limits.
const maxChoices = 3

// Choose picks a backend server and counts the request as in flight there until the caller calls Server.Release. Its error is of
// kind NoServer.
func (v *Service) Choose(now time.Time, r Requirements) (Placement, error) {
	if v.byExpectedLoss {
		return v.chooseByExpectedLoss(now, r)
	}
	subset := *v.subset.Load()
	at := func(i int) jyslot.Candidate { return subset[i].candidate(now, r, v.inFlightLimit(subset[i].server)) }
	for range maxChoices {
		i := jyslot.Choose(len(subset), at, rand.Uint64(), rand.Uint64())
		if i == jyslot.None {
			break
		}
		s := subset[i].server
		if int(s.inFlight.Add(1)) <= v.inFlightLimit(s) && s.TakeQuota(now) {
			return Placement{Server: s}, nil
		}
		s.inFlight.Add(-1)
	}
	return Placement{}, jyfault.New("choose backend server", NoServer, "service %s", v.Info.Name)
}

// Release ends a request that Choose counted as in flight at the server.
func (s *Server) Release() { s.inFlight.Add(-1) }

// inFlightLimit returns the maximum number of this instance's requests in flight at the server.
func (v *Service) inFlightLimit(s *Server) int { return min(s.Info.Slots, int(v.maxInFlight.Load())) }

// candidate returns the server as a candidate for a request, where limit bounds this instance's requests in flight there.
func (a assessment) candidate(now time.Time, r Requirements, limit int) jyslot.Candidate {
	c := jyslot.Candidate{Slots: a.server.Info.Slots, InFlight: a.server.InFlight(), Limit: limit}
	if r.excludes(a.server) {
		return c
	}
	c.Weight = a.weight(now, r.Idempotent)
	if a.server.isSkippedUnreachable(now) {
		c.Weight *= skippedWeightFactor
	}
	return c
}

// weight returns the share of full load, from 0 to 1, that the server may get now.
func (a assessment) weight(now time.Time, idempotent bool) float64 {
	if a.state == jyfloor.Draining || !a.server.takesRequests(now) {
		return 0
	}
	if a.readmitted {
		return 1
	}
	switch a.state {
	case jyfloor.Serving:
		return 1
	case jyfloor.Cold:
		return jydetector.ColdWeight(now, a.since, a.until)
	case jyfloor.Probation:
		if idempotent && rand.Float64() < probationShare {
			return 1
		}
	}
	return 0
}

// SetFleetVerdicts replaces the fleet's verdicts on the servers. The caller must not change the list afterwards.
func (v *Service) SetFleetVerdicts(list []jydetector.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleetVerdicts = list
	v.updateAssessments()
}

// SetLocalVerdicts replaces this instance's verdicts on the servers. The caller must not change the list afterwards.
func (v *Service) SetLocalVerdicts(list []jydetector.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.localVerdicts = list
	v.updateAssessments()
}

// Verdicts returns the verdicts of the fleet and of this instance on the servers. The caller must not change the lists.
func (v *Service) Verdicts() (fleet, local []jydetector.Verdict) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleetVerdicts, v.localVerdicts
}

// updateAssessments sets the assessments from the verdicts and selects the subset. The caller must hold mu.
func (v *Service) updateAssessments() {
	assessments := make([]assessment, 0, len(v.Servers))
	floorServers := make([]jyfloor.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		a, score := assess(s, v.fleetVerdicts, v.localVerdicts)
		assessments = append(assessments, a)
		floorServers = append(floorServers, jyfloor.Server{Slots: s.Info.Slots, State: a.state, Score: score})
	}
	for _, i := range jyfloor.Readmit(floorServers, v.Info.Floor) {
		assessments[i].readmitted = true
	}
	v.assessments.Store(&assessments)
	v.selectSubset(assessments)
}

// selectSubset selects the servers that this instance uses: in order of preference, until the planned number of servers with
// full load is reached. With byExpectedLoss, it selects all servers.
func (v *Service) selectSubset(assessments []assessment) {
	if len(assessments) == 0 {
		v.subset.Store(&assessments)
		return
	}
	if v.byExpectedLoss {
		v.shareConnections(assessments)
		v.subset.Store(&assessments)
		return
	}
	plan := v.plan(len(assessments), v.minConnections())
	v.maxInFlight.Store(int32(plan.Connections))
	fullLoad := 0
	selected := make([]assessment, 0, plan.Servers)
	for _, a := range assessments {
		if fullLoad == plan.Servers {
			break
		}
		if a.state == jyfloor.Serving || a.readmitted {
			fullLoad++
		}
		a.server.Pool.SetMaxOpen(plan.Connections)
		selected = append(selected, a)
	}
	v.subset.Store(&selected)
}

// shareConnections limits the connections to each server to this instance's share.
func (v *Service) shareConnections(assessments []assessment) {
	for _, a := range assessments {
		plan := v.plan(1, a.server.Info.Connections)
		a.server.Pool.SetMaxOpen(plan.Connections)
	}
}

// minConnections returns the lowest number of connections that a server of the service accepts from the whole fleet.
func (v *Service) minConnections() int {
	lowest := v.Servers[0].Info.Connections
	for _, s := range v.Servers {
		lowest = min(lowest, s.Info.Connections)
	}
	return lowest
}
