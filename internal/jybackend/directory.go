package jybackend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyaccount"
	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
	"github.com/jackdawyard/jackdawyard/pkg/jyretry"
	"github.com/jackdawyard/jackdawyard/pkg/jyroute"
	"github.com/jackdawyard/jackdawyard/pkg/jysubset"
)

// Config sets up a Directory.
type Config struct {
	// ConnectTimeout limits the time to open a connection, and MaxIdle the time for which an idle one is kept.
	ConnectTimeout time.Duration
	MaxIdle        time.Duration
	// SourceAddress is the local IP address of connections to servers; empty lets the system choose.
	SourceAddress string
	// RetryBudgetShare is the number of retries, usually below 1, that each answered request allows.
	RetryBudgetShare float64
	// RetryBudgetSlack returns the number of retries that this instance may make beyond the share in each 10 s; nil means none.
	RetryBudgetSlack func() float64
	// LeastUsedShare is the minimum share of a service's servers, from 0 to 1, that must get requests within any 2 s. It applies
	// only with ByExpectedLoss.
	LeastUsedShare float64
	// TransferPrice is the price of traffic between data centres, in request values per gigabyte. With 0, only the distance counts.
	// It applies only with ByExpectedLoss.
	TransferPrice float64
	// ByExpectedLoss chooses servers by expected loss; otherwise they are chosen by load among those that are not ejected.
	ByExpectedLoss bool
	// DataCentre and Instance are the names of this instance's data centre and of the instance itself.
	DataCentre string
	Instance   string
	// CountInstances returns the number of instances that share the backend servers, this one included. It must not be nil.
	CountInstances func() int
	// ShareOf returns this instance's share of a limit that a backend server states. It must not be nil.
	ShareOf ShareFunc
	// InSameRegion reports whether a data centre is in this instance's region. It must not be nil.
	InSameRegion func(jynote.DataCentreName) bool
}

// Directory holds the services and backend servers of the current state.
type Directory struct {
	config Config
	mu     sync.Mutex // serializes Apply
	// observer must be set before the first Apply, or not at all.
	observer Observer
	current  atomic.Pointer[Snapshot]
	contacts *centreContacts
	notices  *notices
	links    *links
}

// Snapshot holds the routes, client accounts, services and backend servers of one state.
type Snapshot struct {
	State    jynote.State
	Routes   *jyroute.Table
	Accounts *jyaccount.Table
	services map[jynote.ServiceName]*Service
	byHash   map[uint64]*Server // by Server.Hash
	// serviceByHash holds the services by Service.Hash.
	serviceByHash map[uint64]*Service
}

// NewDirectory returns a directory whose snapshot is empty.
func NewDirectory(c Config) *Directory {
	d := &Directory{config: c, contacts: newCentreContacts(), notices: newNotices(), links: newLinks()}
	d.current.Store(&Snapshot{Routes: jyroute.NewTable(jynote.State{}), Accounts: jyaccount.NewTable(jynote.State{})})
	return d
}

// SetObserver sets the observer of all requests. It must be called before the first Apply.
func (d *Directory) SetObserver(o Observer) { d.observer = o }

// RecordContact records that an instance in another data centre sent something.
func (d *Directory) RecordContact(now time.Time, centre jynote.DataCentreName) {
	d.contacts.record(now, centre)
}

// Snapshot returns the current snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Server returns the backend server of that name, or nil if the service has none.
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

// ApplyPeerReport applies the report of another instance about the server with that hash. Unknown hashes are ignored.
func (s *Snapshot) ApplyPeerReport(now time.Time, hash uint64, from Reporter, report PeerReport) {
	server := s.byHash[hash]
	if server == nil {
		return
	}
	sent := server.applyPeerReport(now, from, report)
	if report.IsLocal {
		service := s.services[server.Info.Service]
		service.distance.recordSent(now, sent)
		service.coverage.observeLocal(now, RequestCounts{
			Served:   report.Outcomes[jybelief.Answered],
			Unserved: report.Unserved,
		})
	}
}

// ApplyRemoteCounts adds requests that ended in another data centre to those of the service with that hash.
func (s *Snapshot) ApplyRemoteCounts(now time.Time, hash uint64, counts RequestCounts) {
	for _, v := range s.services {
		if v.Hash() == hash {
			v.coverage.observe(now, counts)
		}
	}
}

// ApplyRemoteView applies the load and the chance of being gray that another instance estimates for the server with that hash.
// Unknown hashes are ignored.
func (s *Snapshot) ApplyRemoteView(now time.Time, hash uint64, load int, gray float64) {
	if server := s.byHash[hash]; server != nil {
		server.applyRemoteView(now, load, gray)
	}
}

// ApplyPeerLimit applies what another instance reported that the server with that hash states about its limit. It returns the server
// if this instance knows a later statement, which that instance should be told, and otherwise nil. Unknown hashes are ignored.
func (s *Snapshot) ApplyPeerLimit(hash uint64, statement jyquota.Statement, from string) (outdated *Server) {
	server := s.byHash[hash]
	if server == nil {
		return nil
	}
	if server.applyToldLimit(statement, from) {
		return server
	}
	return nil
}

// Service returns the service of that name, or nil if there is none.
func (s *Snapshot) Service(name jynote.ServiceName) *Service { return s.services[name] }

// Services returns all services in the order of their names.
func (s *Snapshot) Services() []*Service {
	list := make([]*Service, 0, len(s.State.Services))
	for _, v := range s.State.Services {
		list = append(list, s.services[v.Name])
	}
	return list
}

// Apply replaces the snapshot by one of the state, and ignores a state that is not newer than the current one. Unchanged servers
// keep their connections and counts. The pools of removed and changed servers are closed.
func (d *Directory) Apply(state jynote.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	if !state.IsNewerThan(old.State) {
		return
	}
	servers := old.serversByName()
	current := make(map[jynote.ServerName]bool, len(state.BackendServers))
	next := &Snapshot{
		State: state, Routes: jyroute.NewTable(state), Accounts: old.accountsFor(state),
		services: map[jynote.ServiceName]*Service{}, byHash: map[uint64]*Server{}, serviceByHash: map[uint64]*Service{},
	}
	for _, v := range state.Services {
		service := d.serviceFor(v, old.services[v.Name])
		next.services[v.Name], next.serviceByHash[service.Hash()] = service, service
	}
	for _, b := range state.BackendServers {
		current[b.Name] = true
		s := d.serverFor(b, servers[b.Name])
		if servers[b.Name] == s {
			delete(servers, b.Name)
		}
		v := next.services[b.Service]
		v.Servers = append(v.Servers, s)
		next.byHash[s.Hash()] = s
	}
	inSameRegion := d.centresInSameRegion(state)
	for _, v := range next.services {
		d.rank(v, inSameRegion)
		v.indexCentres()
		v.inheritVerdicts(old.services[v.Info.Name])
	}
	d.current.Store(next)
	d.notices.removeExpired(time.Now(), current)
	for _, s := range servers {
		s.Pool.Close()
	}
}

// accountsFor returns the table of the state's accounts: the old one if they are the same, since changes of registrations are frequent.
func (s *Snapshot) accountsFor(state jynote.State) *jyaccount.Table {
	if s.Accounts.IsOf(state) {
		return s.Accounts
	}
	return jyaccount.NewTable(state)
}

// centresInSameRegion reports for each data centre with a server whether it is in this instance's region.
func (d *Directory) centresInSameRegion(state jynote.State) map[jynote.DataCentreName]bool {
	inSameRegion := map[jynote.DataCentreName]bool{}
	for _, b := range state.BackendServers {
		if _, known := inSameRegion[b.DataCentre]; !known {
			inSameRegion[b.DataCentre] = d.config.InSameRegion(b.DataCentre)
		}
	}
	return inSameRegion
}

// inheritVerdicts copies the verdicts that old, the service under the previous state, has; old is nil for a new service.
func (v *Service) inheritVerdicts(old *Service) {
	var fleet, local []jydetector.Verdict
	if old != nil {
		fleet, local = old.Verdicts()
	}
	v.SetFleetVerdicts(fleet)
	v.SetLocalVerdicts(local)
}

// rank sorts the servers into the order in which this instance prefers them.
func (d *Directory) rank(v *Service, inSameRegion map[jynote.DataCentreName]bool) {
	list := make([]jysubset.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		list = append(list, jysubset.Server{Name: string(s.Info.Name), InSameRegion: inSameRegion[s.Info.DataCentre]})
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

// serviceFor returns a new service that shares what was learned with old, unless old is nil.
func (d *Directory) serviceFor(info jynote.Service, old *Service) *Service {
	v := &Service{
		Info: info, latency: newLatency(),
		byExpectedLoss: d.config.ByExpectedLoss, dataCentre: d.config.DataCentre,
		retrySlack: d.retryBudgetSlack, retryShare: d.config.RetryBudgetShare, observer: d.observer, countInstances: d.config.CountInstances,
		retryBudget: jyretry.NewBudget(d.retryBudgetConfig()), coverage: newCoverage(d.config.LeastUsedShare), contacts: d.contacts,
		reach: newReach(), traffic: &trafficCounters{}, overload: &overload{},
	}
	if d.config.ByExpectedLoss {
		v.distance = newDistance(d.config.TransferPrice, d.links)
	}
	v.plan = func(servers, connections int) jysubset.Plan {
		return jysubset.PlanFor(d.config.CountInstances(), servers, connections)
	}
	if old != nil {
		v.latency, v.retryBudget, v.coverage, v.reach = old.latency, old.retryBudget, old.coverage, old.reach
		v.distance, v.traffic, v.overload = old.distance, old.traffic, old.overload
	}
	return v
}

// retryBudgetConfig returns the limits of this instance's part of the fleet's retries.
func (d *Directory) retryBudgetConfig() jyretry.BudgetConfig {
	return jyretry.BudgetConfig{Share: d.config.RetryBudgetShare, Slack: d.retryBudgetSlack(), Window: retryWindow}
}

func (d *Directory) retryBudgetSlack() float64 {
	if d.config.RetryBudgetSlack == nil {
		return 0
	}
	return d.config.RetryBudgetSlack()
}

// retryWindow is the time within which the slack of the retry budget may be used.
const retryWindow = 10 * time.Second

// serverFor returns old if its entry is unchanged, or else a new server.
func (d *Directory) serverFor(info jynote.BackendServer, old *Server) *Server {
	if old != nil && old.Info == info {
		return old
	}
	pool := NewPool(PoolConfig{
		Address: info.Address, ConnectTimeout: d.config.ConnectTimeout, MaxIdle: d.config.MaxIdle, SourceAddress: d.config.SourceAddress,
		OnConnect: func(elapsed time.Duration, err error) { d.links.recordConnect(info.DataCentre, elapsed, err) },
	})
	return &Server{
		Info: info, Pool: pool, addedAt: time.Now(),
		trialLead: trialLeadOf(d.config.Instance, info.Name),
		notice:    d.notices.forServer(info.Name),
		shareOf:   d.config.ShareOf,
	}
}
