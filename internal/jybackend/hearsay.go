package jybackend

import (
	"sync"
	"time"
)

// loadMemory is how long the load that another instance told of is counted without news.
const loadMemory = 3 * time.Second

// Reporter is the run of an instance that tells of a server, and the number of its report.
type Reporter struct {
	Name     string
	Boot     uint64
	Sequence uint64
}

// Heard is what another instance tells of a server.
type Heard struct {
	InFlight int // requests of that instance at the server now
	Answered int // since its last report
	Failed   int // since its last report
}

// hearsay holds the load that other instances told of.
type hearsay struct {
	mu   sync.Mutex
	load map[string]reportedLoad
}

type reportedLoad struct {
	from     Reporter
	inFlight int
	at       time.Time
}

// Hear takes what another instance tells of the server.
func (s *Server) Hear(now time.Time, from Reporter, h Heard) {
	s.hearsay.set(now, from, h.InFlight)
	for range h.Answered {
		s.health.observe(now, false)
	}
	for range h.Failed {
		s.health.observe(now, true)
	}
}

// set keeps the newest report of each instance; datagrams may overtake each other.
func (h *hearsay) set(now time.Time, from Reporter, inFlight int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.load == nil {
		h.load = map[string]reportedLoad{}
	}
	old, known := h.load[from.Name]
	if known && (old.from.Boot > from.Boot || (old.from.Boot == from.Boot && old.from.Sequence > from.Sequence)) {
		return
	}
	h.load[from.Name] = reportedLoad{from: from, inFlight: inFlight, at: now}
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
