package jybackend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
)

// Config sets up a Directory.
type Config struct {
	ConnectTimeout   time.Duration
	MaxIdle          time.Duration
	RetryBudgetShare float64
	// ShareConnections returns how many of a server's connections this instance may open.
	ShareConnections func(total int) int
}

// Directory holds the services and backend servers of the release note in force.
type Directory struct {
	config  Config
	mu      sync.Mutex // serializes Apply
	current atomic.Pointer[Snapshot]
}

// Snapshot is what one release note put in force.
type Snapshot struct {
	State    jynote.State
	Routes   *jyroute.Table
	services map[jynote.ServiceName]*Service
}

// NewDirectory returns a directory with nothing in force.
func NewDirectory(c Config) *Directory {
	d := &Directory{config: c}
	d.current.Store(&Snapshot{Routes: jyroute.NewTable(jynote.State{})})
	return d
}

// Snapshot returns what is in force now.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name jynote.ServiceName) *Service { return s.services[name] }

// Services returns all services in the order of their names.
func (s *Snapshot) Services() []*Service {
	list := make([]*Service, 0, len(s.State.Services))
	for _, v := range s.State.Services {
		list = append(list, s.services[v.Name])
	}
	return list
}

// Apply puts a state in force: servers that stay keep their connections and counts, and those withdrawn get no new request.
func (d *Directory) Apply(state jynote.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	if state.Number <= old.State.Number {
		return
	}
	servers := old.serversByName()
	next := &Snapshot{State: state, Routes: jyroute.NewTable(state), services: map[jynote.ServiceName]*Service{}}
	for _, v := range state.Services {
		next.services[v.Name] = d.service(v, old.services[v.Name])
	}
	for _, b := range state.BackendServers {
		s := d.server(b, servers[b.Name])
		if servers[b.Name] == s {
			delete(servers, b.Name)
		}
		v := next.services[b.Service]
		v.Servers = append(v.Servers, s)
	}
	for _, v := range next.services {
		var fleet, local []jydetector.Verdict
		if o := old.services[v.Info.Name]; o != nil {
			fleet, local = o.Verdicts()
		}
		v.SetFleetVerdicts(fleet)
		v.SetLocalVerdicts(local)
	}
	d.current.Store(next)
	for _, s := range servers {
		s.Pool.Close()
	}
}

func (s *Snapshot) serversByName() map[jynote.ServerName]*Server {
	all := map[jynote.ServerName]*Server{}
	for _, v := range s.services {
		for _, b := range v.Servers {
			all[b.Info.Name] = b
		}
	}
	return all
}

func (d *Directory) service(info jynote.Service, old *Service) *Service {
	v := &Service{Info: info, latency: newLatency(), budget: jyretry.NewBudget(d.config.RetryBudgetShare)}
	if old != nil {
		v.latency = old.latency
	}
	return v
}

func (d *Directory) server(info jynote.BackendServer, old *Server) *Server {
	if old != nil && old.Info == info {
		return old
	}
	return &Server{Info: info, Pool: NewPool(PoolConfig{
		Address:        info.Address,
		MaxConnections: d.config.ShareConnections(info.Connections),
		ConnectTimeout: d.config.ConnectTimeout,
		MaxIdle:        d.config.MaxIdle,
	})}
}
