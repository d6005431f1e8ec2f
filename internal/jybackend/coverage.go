package jybackend

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// coverage wraps a jyplace.Coverage for concurrent use.
type coverage struct {
	mu      sync.Mutex
	tracker *jyplace.Coverage
	// unreported counts the requests that ended in this data centre and were not yet reported to other data centres.
	unreported RequestCounts
}

func newCoverage(floor float64) *coverage {
	return &coverage{tracker: jyplace.NewCoverage(jyplace.DefaultCoverage(floor))}
}

// observeLocal records requests that ended in this data centre, and counts them for the next report to other data centres.
func (c *coverage) observeLocal(now time.Time, counts RequestCounts) {
	c.observe(now, counts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreported.Served += counts.Served
	c.unreported.Unserved += counts.Unserved
}

// observe records requests that ended in any data centre.
func (c *coverage) observe(now time.Time, counts RequestCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Observe(now, counts.Served, counts.Unserved)
}

// unservedShare returns the share of recent requests, from 0 to 1, that were not served. Unserved trial requests are not counted.
func (c *coverage) unservedShare(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.UnservedShare(now)
}

// TakeRequestCounts returns the numbers of requests that ended in this data centre since the last call.
func (v *Service) TakeRequestCounts() RequestCounts {
	v.coverage.mu.Lock()
	defer v.coverage.mu.Unlock()
	out := v.coverage.unreported
	v.coverage.unreported = RequestCounts{}
	return out
}

// Hash identifies the service in signals between instances.
func (v *Service) Hash() uint64 { return xxhash.Sum64String(string(v.Info.Name)) }

// RecordUnserved records that a request ended without being served. p is its last placement, or the zero value if no server was
// chosen. A trial request doesn't count: its failure says something about that server, not about the service.
func (v *Service) RecordUnserved(p Placement) {
	s := p.Server
	if p.IsTrial {
		return
	}
	v.coverage.observeLocal(time.Now(), RequestCounts{Unserved: 1})
	if v.observer != nil && s != nil {
		v.observer.Unserved(s)
	}
}

// RecordOverQuota records that a request was refused since its account is over its quota. It is unserved like others: the floor of the
// service's servers in use depends on the share of its requests that are served. Signals carry unserved requests with a server, so the
// first one stands for the service.
func (v *Service) RecordOverQuota() {
	if len(v.Servers) > 0 {
		v.RecordUnserved(Placement{Server: v.Servers[0]})
	}
}

// dueTrials reports for each server whether a request must try it before others, since too few of the servers that this data
// centre covers are active. It returns nil if no trial is due.
func (v *Service) dueTrials(now time.Time, isRetryable bool) []bool {
	v.coverage.mu.Lock()
	rule := v.coverage.tracker.RuleAt(now)
	v.coverage.mu.Unlock()
	var due []bool
	for centre, isCovered := range v.contacts.coveredCentres(now, jynote.DataCentreName(v.dataCentre), v.centreNames) {
		if !isCovered {
			continue
		}
		for _, trial := range rule.DueTrials(v.idleServers(now, centre, rule, isRetryable), v.centreSizes, centre) {
			if due == nil {
				due = make([]bool, len(v.Servers))
			}
			due[trial.Index] = true
		}
	}
	return due
}

// idleServers returns the available servers of a data centre that are idle for a request. Each server's trialLead is added to
// now, so that it counts as idle that much earlier.
func (v *Service) idleServers(now time.Time, centre int, rule jyplace.CoverageRule, isRetryable bool) []jyplace.IdleServer {
	var out []jyplace.IdleServer
	for i, s := range v.Servers {
		if v.centreOf[i] != centre {
			continue
		}
		last, shifted := s.lastRequestAt(), now.Add(s.trialLead)
		if !rule.IsIdle(shifted, last, isRetryable) || !s.isAvailable(shifted) {
			continue
		}
		e := s.health.failureEstimate(shifted)
		out = append(out, jyplace.IdleServer{Index: i, FailChance: e.failChance, IsInBackoff: rule.IsInBackoff(shifted, last, e.lastFailure)})
	}
	return out
}

// maxTrialLead is the range of the times at which instances count the same server as idle, so that not all of them try it at once.
const maxTrialLead = 250 * time.Millisecond

// trialLeadOf returns how much earlier the instance counts the server as idle, from 0 to maxTrialLead.
func trialLeadOf(instance string, server jynote.ServerName) time.Duration {
	share := float64(xxhash.Sum64String(instance+" tries "+string(server))) / math.MaxUint64
	return time.Duration(share * float64(maxTrialLead))
}

// isAvailable reports whether a trial request may be sent to the server, which takes requests and is not skipped as unreachable.
func (s *Server) isAvailable(now time.Time) bool {
	return s.takesRequests(now) && !s.isSkippedUnreachable(now)
}

// isLocal reports whether the server is in this instance's data centre.
func (v *Service) isLocal(s *Server) bool { return string(s.Info.DataCentre) == v.dataCentre }

// recordRequestSent records that a request was sent to the server, by this instance or another.
func (s *Server) recordRequestSent(now time.Time) { s.lastRequestNanos.Store(now.UnixNano()) }

// lastRequestAt returns when any instance last sent the server a request, as far as known, or the Unix epoch if none did.
func (s *Server) lastRequestAt() time.Time { return time.Unix(0, s.lastRequestNanos.Load()) }
