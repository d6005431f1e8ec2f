package jyreach

import "time"

// Config sets up a Path.
type Config struct {
	// MinServers is the number of servers to which connections must fail one after the other for the path to count as lost. For a
	// service with fewer servers, it is their number.
	MinServers int
	// Memory is how long a failure counts.
	Memory time.Duration
	// ProbeInterval is the minimum time between two probes.
	ProbeInterval time.Duration
}

// DefaultConfig returns a configuration for servers that answer a new connection within a quarter of a second.
func DefaultConfig() Config {
	return Config{MinServers: 3, Memory: 2 * time.Second, ProbeInterval: 100 * time.Millisecond}
}

// Failure is a connection to a server that could not be opened.
type Failure[S comparable] struct {
	Server S
	At     time.Time
	// Refused says that the connection was refused; otherwise there was no answer.
	Refused bool
}

// Path is the path from one instance to the servers of one service, which are identified by values of type S. It is not safe for
// concurrent use.
type Path[S comparable] struct {
	config Config
	// failures are those since a connection was last opened, in order of time.
	failures []Failure[S]
	// lostSince is when the path was lost, or the zero time.
	lostSince time.Time
	probedAt  time.Time
}

// New returns a path that is not lost.
func New[S comparable](c Config) *Path[S] { return &Path[S]{config: c} }

// IsLost reports whether no connection was opened since those to MinServers servers failed.
func (p *Path[S]) IsLost() bool { return !p.lostSince.IsZero() }

// LostSince returns when the path was lost, or the zero time.
func (p *Path[S]) LostSince() time.Time { return p.lostSince }

// Failed records a failure, and reports whether the path is lost by that. servers is the number of servers of the service.
func (p *Path[S]) Failed(f Failure[S], servers int) (lost bool) {
	if p.IsLost() {
		return false
	}
	p.forget(f.At)
	p.failures = append(p.failures, f)
	if p.distinct() < min(p.config.MinServers, servers) {
		return false
	}
	p.lostSince = f.At
	return true
}

// Opened records that a connection was opened. It returns the recent failures, of which it shows that they were the servers' own and
// not the path's.
func (p *Path[S]) Opened(now time.Time) []Failure[S] {
	p.forget(now)
	blamed := p.failures
	p.failures, p.lostSince = nil, time.Time{}
	return blamed
}

// TakeProbe reports whether a probe may be made now, and counts it.
func (p *Path[S]) TakeProbe(now time.Time) bool {
	if !p.IsLost() || now.Sub(p.probedAt) < p.config.ProbeInterval {
		return false
	}
	p.probedAt = now
	return true
}

// forget drops the failures that no longer count.
func (p *Path[S]) forget(now time.Time) {
	for len(p.failures) > 0 && now.Sub(p.failures[0].At) > p.config.Memory {
		p.failures = p.failures[1:]
	}
}

// distinct returns the number of servers with failures.
func (p *Path[S]) distinct() int {
	servers := make(map[S]bool, len(p.failures))
	for _, f := range p.failures {
		servers[f.Server] = true
	}
	return len(servers)
}
