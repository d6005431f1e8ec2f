package jybackend

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

const (
	// peerLoadTimeout is how long the load that another instance reported counts if no newer report arrives.
	peerLoadTimeout = 3 * time.Second
	// remoteViewTimeout is how long the load in the view of another instance counts.
	remoteViewTimeout = 2 * time.Second
	// freshBeliefAge is the age up to which a belief takes precedence over the view of another instance.
	freshBeliefAge = 250 * time.Millisecond
)

// Reporter identifies a report and the process run of the instance that sent it.
type Reporter struct {
	Name string
	// Boot rises with each process run, and Sequence with each report of a run.
	Boot     uint64
	Sequence uint64
}

// PeerReport is the report of another instance about a server.
type PeerReport struct {
	InFlight int             // requests of that instance that are at the server
	Outcomes jybelief.Counts // of its requests that ended since its previous report
	Unserved uint32          // requests that ended unserved since its previous report
	// IsLocal says that the reporting instance is in the same data centre as this one.
	IsLocal bool
}

// peerLoads holds the load of a server that other instances reported.
type peerLoads struct {
	mu         sync.Mutex
	byInstance map[string]peerLoad
	// remoteLoad is the load of all instances in the last view, which arrived at remoteLoadAt.
	remoteLoad   int
	remoteLoadAt time.Time
}

type peerLoad struct {
	from       Reporter
	inFlight   int
	isLocal    bool // the instance is in the same data centre as this one
	reportedAt time.Time
}

// applyPeerReport applies the report of another instance about the server. It returns the number of requests that the instance sent
// since its previous report.
func (s *Server) applyPeerReport(now time.Time, from Reporter, report PeerReport) (sent int) {
	sent = s.peerLoads.apply(now, from, report)
	if sent > 0 {
		s.recordRequestSent(now)
	}
	for outcome, count := range report.Outcomes {
		for range count {
			s.observe(now, now, jybelief.Outcome(outcome), from.Name)
		}
	}
	return sent
}

// applyRemoteView applies another instance's view of the server: the load of all instances and the chance of being gray. The
// chance is ignored if the belief here is fresh.
func (s *Server) applyRemoteView(now time.Time, load int, gray float64) {
	s.peerLoads.mu.Lock()
	s.peerLoads.remoteLoad, s.peerLoads.remoteLoadAt = load, now
	s.peerLoads.mu.Unlock()
	s.health.applyRemoteChance(now, gray)
}

// View returns the load of all instances, as far as known, and the chance, from 0 to 1, of being gray, to be sent to other
// instances.
func (s *Server) View(now time.Time) (load int, gray float64) {
	return s.load(now), s.health.grayChance(now)
}

// WasTried reports whether anything was ever observed or reported about the server.
func (s *Server) WasTried() bool { return !s.health.isUnobserved() }

// apply stores the load in the report, unless a newer report of the instance arrived before: datagrams may arrive out of order.
// It returns the number of requests that the instance sent since its previous report: those that ended plus the rise of those in
// flight. For an outdated report it returns 0.
func (p *peerLoads) apply(now time.Time, from Reporter, report PeerReport) (sent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byInstance == nil {
		p.byInstance = map[string]peerLoad{}
	}
	old := p.byInstance[from.Name]
	if old.from.Boot > from.Boot || (old.from.Boot == from.Boot && old.from.Sequence > from.Sequence) {
		return 0
	}
	p.byInstance[from.Name] = peerLoad{from: from, inFlight: report.InFlight, isLocal: report.IsLocal, reportedAt: now}
	if old.from.Boot != from.Boot {
		old.inFlight = 0
	}
	return report.InFlight - old.inFlight + report.Outcomes.Sum()
}

// inFlight returns the number of requests of other instances at the server, as far as known, and drops outdated reports.
func (p *peerLoads) inFlight(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for name, l := range p.byInstance {
		if now.Sub(l.reportedAt) > peerLoadTimeout {
			delete(p.byInstance, name)
			continue
		}
		sum += l.inFlight
	}
	return sum
}

// inFlightSince returns the number of requests of other instances at the server by the reports that arrived at or after since.
func (p *peerLoads) inFlightSince(since time.Time) int {
	return p.sumInFlight(func(l peerLoad) bool { return !l.reportedAt.Before(since) })
}

// localInFlight returns the number of requests that other instances of this data centre have at the server, as far as known.
func (p *peerLoads) localInFlight(now time.Time) int {
	return p.sumInFlight(func(l peerLoad) bool { return l.isLocal && now.Sub(l.reportedAt) <= peerLoadTimeout })
}

// sumInFlight returns the sum of the reported requests in flight of the instances that include accepts.
func (p *peerLoads) sumInFlight(include func(peerLoad) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, l := range p.byInstance {
		if include(l) {
			sum += l.inFlight
		}
	}
	return sum
}

// recentRemoteLoad returns the load in the last view if that arrived within remoteViewTimeout, or 0.
func (p *peerLoads) recentRemoteLoad(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.remoteLoadAt) > remoteViewTimeout {
		return 0
	}
	return p.remoteLoad
}
