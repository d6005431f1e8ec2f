package jybackend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jyreach"
)

// reach is the path from this instance to the servers of a service. It is safe for concurrent use.
type reach struct {
	mu   sync.Mutex
	path *jyreach.Path[*Server]
}

func newReach() *reach { return &reach{path: jyreach.New[*Server](jyreach.DefaultConfig())} }

// RecordOpened records that a connection to a server of the service was opened. It shows that those which failed shortly before did so
// for the servers' own fault, which is recorded now.
func (v *Service) RecordOpened(now time.Time) {
	v.reach.mu.Lock()
	lostSince := v.reach.path.LostSince()
	failures := v.reach.path.Opened(now)
	v.reach.mu.Unlock()
	for _, f := range failures {
		v.recordUnopened(now, f)
	}
	if !lostSince.IsZero() {
		jylog.PathRestored.Log(v.Info.Name, now.Sub(lostSince).Milliseconds())
	}
}

// recordUnopened records a failure as evidence about the server.
func (v *Service) recordUnopened(now time.Time, f jyreach.Failure[*Server]) {
	// Without an answer, the path between this instance and that server may be the cause. Until other instances fail there too, this
	// weighs no more than a failure that the request itself may have caused.
	outcome := jybelief.FailedLate
	if f.Refused {
		outcome = jybelief.FailedEarly
	}
	if f.Server.health.ignoresOutcome(f.At, outcome) {
		return
	}
	f.Server.observe(f.At, now, outcome, localSource)
	if v.observer != nil {
		v.observer.Ended(f.Server, outcome, true)
	}
}

// RecordUnopened records that no connection to a server of the service could be opened, because it was refused or not answered.
// RecordAttempt must still follow.
func (v *Service) RecordUnopened(now time.Time, s *Server, refused bool) {
	v.reach.mu.Lock()
	isLost := v.reach.path.Failed(jyreach.Failure[*Server]{Server: s, At: now, Refused: refused}, len(v.Servers))
	v.reach.mu.Unlock()
	if isLost {
		jylog.PathLost.Log(v.Info.Name, len(v.Servers))
	}
}

// ProbeSoon opens a connection to some server in the background if the path is lost and the last probe is long enough ago. A connection
// that is opened ends the loss, and stays in the server's pool.
func (v *Service) ProbeSoon(now time.Time) {
	v.reach.mu.Lock()
	isDue := v.reach.path.TakeProbe(now)
	v.reach.mu.Unlock()
	if !isDue || len(v.Servers) == 0 {
		return
	}
	s := v.Servers[rand.IntN(len(v.Servers))]
	if !s.takesRequests(now) {
		return
	}
	go v.probe(s)
}

func (v *Service) probe(s *Server) {
	conn, err := s.Pool.Open(context.Background(), time.Now())
	if err != nil {
		// The loss itself is logged; the next request probes another server.
		return
	}
	now := time.Now()
	s.Pool.Put(conn, now)
	v.RecordOpened(now)
}

// isPathLost reports whether no connection to any server of the service can be opened from this instance.
func (v *Service) isPathLost() bool { return !v.PathLostSince().IsZero() }

// PathLostSince returns since when no connection to any server of the service can be opened from this instance, or the zero time.
func (v *Service) PathLostSince() time.Time {
	v.reach.mu.Lock()
	defer v.reach.mu.Unlock()
	return v.reach.path.LostSince()
}
