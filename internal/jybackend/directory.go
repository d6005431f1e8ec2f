package jybackend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
	"github.com/jackdawyard/jackdawyard/pkg/jysubset"
)

// Config sets up a Directory.
type Config struct {
	ConnectTimeout   time.Duration
	MaxIdle          time.Duration
	RetryBudgetShare float64
	// RetryBudgetSlack returns the retries that this instance may make beyond the share in each window; nil stands for none.
	RetryBudgetSlack func() float64
	// LeastUsedShare is the share of a service's servers that must get requests within two seconds, where they are chosen by loss.
	LeastUsedShare float64
	// ByExpectedLoss chooses servers by expected loss from DataCentre; else by free slots among those that are not ejected.
	ByExpectedLoss bool
	DataCentre     string
	Instance       string
	// CountInstances returns how many instances share the backend servers.
	CountInstances func() int
	// IsSameRegion reports whether a data centre is in this instance's region.
	IsSameRegion func(jynote.DataCentreName) bool
}

// Directory holds the services and backend servers of the release note in force.
type Directory struct {
	config Config
	mu     sync.Mutex // serializes Apply
	// observer must be set before the first Apply, or not at all.
	observer Observer
	current  atomic.Pointer[Snapshot]
	centres  *centres
	notices  *notices
}

// Snapshot is what one release note put in force.
type Snapshot struct {
	State    jynote.State
	Routes   *jyroute.Table
	services map[jynote.ServiceName]*Service
	byHash   map[uint64]*Server
}

// NewDirectory returns a directory with nothing in force.
func NewDirectory(c Config) *Directory {
	d := &Directory{config: c, centres: newCentres(), notices: newNotices()}
	d.current.Store(&Snapshot{Routes: jyroute.NewTable(jynote.State{})})
	return d
}

// SetObserver sets who is told of each request; it must be called before the first Apply.
func (d *Directory) SetObserver(o Observer) { d.observer = o }

// RecordContact records that an instance in another data centre told something.
func (d *Directory) RecordContact(now time.Time, centre jynote.DataCentreName) {
	d.centres.hear(now, centre)
}

// Snapshot returns what is in force now.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Server returns the backend server of that name, or nil.
func (s *Snapshot) Server(service jynote.ServiceName, name jynote.ServerName) *Server {
	v := s.services[service]
	if v == nil {
		return nil
	}
	for _, b := range v.Servers {
		if b.Info.Name == name {
			return b
		}
	}
	return nil
}

// ApplyPeerReport takes what another instance tells of the server of that hash.
func (s *Snapshot) ApplyPeerReport(now time.Time, hash uint64, from Reporter, h PeerReport) {
	server := s.byHash[hash]
	if server == nil {
		return
	}
	server.hear(now, from, h)
	if h.IsLocal {
		s.services[server.Info.Service].coverage.observe(now, RequestCounts{Served: h.Outcomes[jybelief.Answered], Unserved: h.Unserved})
	}
}

// ApplyRemoteCounts takes what became of requests for the service of that hash in another data centre.
func (s *Snapshot) ApplyRemoteCounts(now time.Time, hash uint64, f RequestCounts) {
	for _, v := range s.services {
		if v.Hash() == hash {
			v.coverage.observeFar(now, f)
		}
	}
}

// ApplyRemoteView takes what the instances in another data centre believe of the server of that hash.
func (s *Snapshot) ApplyRemoteView(now time.Time, hash uint64, load int, gray float64) {
	if server := s.byHash[hash]; server != nil {
		server.hearView(now, load, gray)
	}
}

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
	if !state.IsNewerThan(old.State) {
		return
	}
	servers := old.serversByName()
	inForce := make(map[jynote.ServerName]bool, len(state.BackendServers))
	next := &Snapshot{State: state, Routes: jyroute.NewTable(state), services: map[jynote.ServiceName]*Service{}, byHash: map[uint64]*Server{}}
	for _, v := range state.Services {
		next.services[v.Name] = d.service(v, old.services[v.Name])
	}
	for _, b := range state.BackendServers {
		inForce[b.Name] = true
		s := d.server(b, servers[b.Name])
		if servers[b.Name] == s {
			delete(servers, b.Name)
		}
		v := next.services[b.Service]
		v.Servers = append(v.Servers, s)
		next.byHash[s.Hash()] = s
	}
	near := d.nearCentres(state)
	for _, v := range next.services {
		d.rank(v, near)
		v.countCentres()
		v.takeVerdicts(old.services[v.Info.Name])
	}
	d.current.Store(next)
	d.notices.forgetOld(time.Now(), inForce)
	for _, s := range servers {
		s.Pool.Close()
	}
}

// nearCentres tells of each data centre with a server whether it is near.
func (d *Directory) nearCentres(state jynote.State) map[jynote.DataCentreName]bool {
	near := map[jynote.DataCentreName]bool{}
	for _, b := range state.BackendServers {
		if _, known := near[b.DataCentre]; !known {
			near[b.DataCentre] = d.config.IsSameRegion(b.DataCentre)
		}
	}
	return near
}

// takeVerdicts goes on with what was found of the servers under the state before; old is nil for a new service.
func (v *Service) takeVerdicts(old *Service) {
	var fleet, local []jydetector.Verdict
	if old != nil {
		fleet, local = old.Verdicts()
	}
	v.SetFleetVerdicts(fleet)
	v.SetLocalVerdicts(local)
}

// rank puts the servers into the order in which this instance uses them.
func (d *Directory) rank(v *Service, near map[jynote.DataCentreName]bool) {
	list := make([]jysubset.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		list = append(list, jysubset.Server{Name: string(s.Info.Name), InSameRegion: near[s.Info.DataCentre]})
	}
	ranked := make([]*Server, 0, len(list))
	for _, i := range jysubset.Rank(d.config.Instance, list) {
		ranked = append(ranked, v.Servers[i])
	}
	v.Servers = ranked
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
	v := &Service{
		Info: info, latency: newLatency(), byLoss: d.config.ByExpectedLoss, dataCentre: d.config.DataCentre, slack: d.slack, observer: d.observer,
		budget: jyretry.NewBudget(d.budget()), coverage: newCoverage(d.config.LeastUsedShare), centres: d.centres,
	}
	v.plan = func(servers, connections int) jysubset.Plan {
		return jysubset.PlanFor(d.config.CountInstances(), servers, connections)
	}
	if old != nil {
		v.latency, v.budget, v.coverage = old.latency, old.budget, old.coverage
	}
	return v
}

// budget is this instance's part of the fleet's retries.
func (d *Directory) budget() jyretry.BudgetConfig {
	return jyretry.BudgetConfig{Share: d.config.RetryBudgetShare, Slack: d.slack(), Window: retryWindow}
}

func (d *Directory) slack() float64 {
	if d.config.RetryBudgetSlack == nil {
		return 0
	}
	return d.config.RetryBudgetSlack()
}

// retryWindow is the time in which the slack of the retry budget may be used.
const retryWindow = 10 * time.Second

func (d *Directory) server(info jynote.BackendServer, old *Server) *Server {
	if old != nil && old.Info == info {
		return old
	}
	pool := NewPool(PoolConfig{Address: info.Address, ConnectTimeout: d.config.ConnectTimeout, MaxIdle: d.config.MaxIdle})
	return &Server{Info: info, Pool: pool, seen: time.Now(), lead: leadOf(d.config.Instance, info.Name), said: d.notices.of(info.Name)}
}
