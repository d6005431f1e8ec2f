package jybackend

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawyard/jackdawyard/pkg/jyplace"
)

// coverage is a jyplace.Coverage for concurrent use.
type coverage struct {
	mu     sync.Mutex
	decide *jyplace.Coverage
	// nearby counts what was not yet told to other data centres.
	nearby Finished
}

func newCoverage() *coverage {
	return &coverage{decide: jyplace.NewCoverage(jyplace.DefaultCoverage())}
}

// observe takes requests that ended in this data centre.
func (c *coverage) observe(now time.Time, f Finished) {
	c.observeFar(now, f)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nearby.Served += f.Served
	c.nearby.Unserved += f.Unserved
}

// observeFar takes requests that ended in another data centre.
func (c *coverage) observeFar(now time.Time, f Finished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide.Observe(now, f.Served, f.Unserved)
}

// unservedShare returns the share of the requests of late that were not served.
func (c *coverage) unservedShare(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decide.UnservedShare(now)
}

// TakeFinished returns what became of requests in this data centre since the last call.
func (v *Service) TakeFinished() Finished {
	v.coverage.mu.Lock()
	defer v.coverage.mu.Unlock()
	out := v.coverage.nearby
	v.coverage.nearby = Finished{}
	return out
}

// Hash identifies the service in signals between instances.
func (v *Service) Hash() uint64 { return xxhash.Sum64String(string(v.Info.Name)) }

// NoteUnserved records that a request ended without being served, at a server or without one.
func (v *Service) NoteUnserved(s *Server) {
	v.coverage.observe(time.Now(), Finished{Unserved: 1})
	if v.observer != nil && s != nil {
		v.observer.Unserved(s)
	}
}

// cover returns what is to be covered now, and whether servers nearby must be tried for it although others seem better.
func (v *Service) cover(now time.Time) (jyplace.Cover, bool) {
	v.coverage.mu.Lock()
	cover := v.coverage.decide.Now(now)
	v.coverage.mu.Unlock()
	var last []time.Time
	for _, s := range v.Servers {
		if v.isNearby(s) {
			last = append(last, s.lastUsed())
		}
	}
	return cover, cover.Lacks(now, last)
}

func (v *Service) isNearby(s *Server) bool { return string(s.Info.DataCentre) == v.dataCentre }

// markUsed records that a request was sent to the server, by this instance or another.
func (s *Server) markUsed(now time.Time) { s.used.Store(now.UnixNano()) }

func (s *Server) lastUsed() time.Time { return time.Unix(0, s.used.Load()) }
