package jybackend

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

const (
	// loadMemory is how long the load that another instance told of is counted without news.
	loadMemory = 3 * time.Second
	// viewMemory is how long the load in a view counts.
	viewMemory = 2 * time.Second
	// freshOutcome is how old an outcome that was observed here may be to go before the view of another data centre.
	freshOutcome = 250 * time.Millisecond
)

// Reporter is the run of an instance that tells of a server, and the number of its report.
type Reporter struct {
	Name     string
	Boot     uint64
	Sequence uint64
}

// PeerReport is what another instance tells of a server.
type PeerReport struct {
	InFlight int             // requests of that instance at the server now
	Outcomes jybelief.Counts // since its last report
	Unserved uint32          // requests that ended unserved since its last report
	// IsLocal says that the instance is in the same data centre as this one.
	IsLocal bool
}

// hearsay holds the load that other instances told of.
type hearsay struct {
	mu   sync.Mutex
	load map[string]reportedLoad
	// total is the load as another data centre sees it, as of viewed.
	total  int
	viewed time.Time
}

type reportedLoad struct {
	from     Reporter
	inFlight int
	at       time.Time
}

// hear takes what another instance tells of the server.
func (s *Server) hear(now time.Time, from Reporter, h PeerReport) {
	if s.hearsay.set(now, from, h) > 0 {
		s.markUsed(now)
	}
	for outcome, count := range h.Outcomes {
		for range count {
			s.observe(now, now, jybelief.Outcome(outcome), from.Name)
		}
	}
}

// hearView takes what the instances in the server's own data centre believe of it, unless more is known here.
func (s *Server) hearView(now time.Time, load int, gray float64) {
	s.hearsay.mu.Lock()
	s.hearsay.total, s.hearsay.viewed = load, now
	s.hearsay.mu.Unlock()
	s.health.adopt(now, gray)
}

// View returns the load and the chance of being gray, for instances in other data centres.
func (s *Server) View(now time.Time) (load int, gray float64) {
	return s.load(now), s.health.gray(now)
}

// WasTried reports whether anything was ever observed or heard of the server.
func (s *Server) WasTried() bool { return !s.health.isNew() }

// set keeps the newest report of each instance, since datagrams may overtake each other, and returns how many requests that
// instance has sent since the one before, as far as the reports tell.
func (h *hearsay) set(now time.Time, from Reporter, heard PeerReport) (sent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.load == nil {
		h.load = map[string]reportedLoad{}
	}
	old := h.load[from.Name]
	if old.from.Boot > from.Boot || (old.from.Boot == from.Boot && old.from.Sequence > from.Sequence) {
		return 0
	}
	h.load[from.Name] = reportedLoad{from: from, inFlight: heard.InFlight, at: now}
	if old.from.Boot != from.Boot {
		old.inFlight = 0
	}
	return heard.InFlight - old.inFlight + heard.Outcomes.Sum()
}

// others returns the requests that other instances have at the server.
func (h *hearsay) others(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for name, l := range h.load {
		if now.Sub(l.at) > loadMemory {
			delete(h.load, name)
			continue
		}
		sum += l.inFlight
	}
	return sum
}

// viewedLoad returns the load as another data centre saw it lately, or 0.
func (h *hearsay) viewedLoad(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.viewed) > viewMemory {
		return 0
	}
	return h.total
}
