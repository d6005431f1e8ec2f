package jybackend

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// coverage is a jyplace.Coverage for concurrent use.
type coverage struct {
	mu     sync.Mutex
	decide *jyplace.Coverage
	// nearby counts what was not yet told to other data centres.
	nearby RequestCounts
}

func newCoverage(floor float64) *coverage {
	return &coverage{decide: jyplace.NewCoverage(jyplace.DefaultCoverage(floor))}
}

// observe takes requests that ended in this data centre.
func (c *coverage) observe(now time.Time, f RequestCounts) {
	c.observeFar(now, f)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nearby.Served += f.Served
	c.nearby.Unserved += f.Unserved
}

// observeFar takes requests that ended in another data centre.
func (c *coverage) observeFar(now time.Time, f RequestCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide.Observe(now, f.Served, f.Unserved)
}

// unservedShare returns the share of the requests of late that were not served, without those that tried an idle server.
func (c *coverage) unservedShare(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decide.UnservedShare(now)
}

// TakeRequestCounts returns what became of requests in this data centre since the last call.
func (v *Service) TakeRequestCounts() RequestCounts {
	v.coverage.mu.Lock()
	defer v.coverage.mu.Unlock()
	out := v.coverage.nearby
	v.coverage.nearby = RequestCounts{}
	return out
}

// Hash identifies the service in signals between instances.
func (v *Service) Hash() uint64 { return xxhash.Sum64String(string(v.Info.Name)) }

// RecordUnserved records that a request ended without being served, at a server or without one. One that tried a server for the
// sake of coverage does not count: it tells of that server, not of the service.
func (v *Service) RecordUnserved(p Placement) {
	s := p.Server
	if p.IsTrial {
		return
	}
	v.coverage.observe(time.Now(), RequestCounts{Unserved: 1})
	if v.observer != nil && s != nil {
		v.observer.Unserved(s)
	}
}

// mustTry tells of each server whether a request must try it before others, since too few of those that this data centre keeps
// in use are; nil stands for none.
func (v *Service) mustTry(now time.Time, isRepeatable bool) []bool {
	v.coverage.mu.Lock()
	cover := v.coverage.decide.RuleAt(now)
	v.coverage.mu.Unlock()
	var must []bool
	for centre, isKept := range v.centres.keptBy(now, jynote.DataCentreName(v.dataCentre), v.centreNames) {
		if !isKept {
			continue
		}
		for _, x := range cover.DueTrials(v.idle(now, centre, cover, isRepeatable), v.centreSizes, centre) {
			if must == nil {
				must = make([]bool, len(v.Servers))
			}
			must[x.Index] = true
		}
	}
	return must
}

// idle returns the servers of a data centre that are not in use, in the eyes of a request.
func (v *Service) idle(now time.Time, centre int, cover jyplace.CoverageRule, isRepeatable bool) []jyplace.IdleServer {
	var out []jyplace.IdleServer
	for i, s := range v.Servers {
		if v.centreOf[i] != centre {
			continue
		}
		last, now := s.lastUsed(), now.Add(s.lead)
		if !cover.IsIdle(now, last, isRepeatable) || !s.mayBeTried(now) {
			continue
		}
		p := s.health.prospect(now)
		out = append(out, jyplace.IdleServer{Index: i, FailChance: p.failChance, IsInBackoff: cover.IsInBackoff(now, last, p.failed)})
	}
	return out
}

// trialLead is how much sooner than the last instance the first one tries an idle server, so that not all try it at once.
const trialLead = 250 * time.Millisecond

// leadOf returns how much sooner than the last one the instance tries the server.
func leadOf(instance string, server jynote.ServerName) time.Duration {
	share := float64(xxhash.Sum64String(instance+" tries "+string(server))) / math.MaxUint64
	return time.Duration(share * float64(trialLead))
}

// mayBeTried reports whether a request can reach the server: one that leaves, that asked for a pause, or to which
// connections were lost just now, is not there to be used.
func (s *Server) mayBeTried(now time.Time) bool { return !s.isClosed(now) && !s.isPassedOver(now) }

func (v *Service) isNearby(s *Server) bool { return string(s.Info.DataCentre) == v.dataCentre }

// markUsed records that a request was sent to the server, by this instance or another.
func (s *Server) markUsed(now time.Time) { s.used.Store(now.UnixNano()) }

func (s *Server) lastUsed() time.Time { return time.Unix(0, s.used.Load()) }
