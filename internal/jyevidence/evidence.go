package jyevidence

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyring"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Fleet is the part of the membership that Evidence uses.
type Fleet interface {
	// Self returns this instance.
	Self() jymember.Member
	// Members returns all other known instances.
	Members() []jymember.Member
	// RankedForKey returns up to count working instances that are responsible for the key, in order of preference; include, if
	// not nil, selects among them.
	RankedForKey(key string, count int, include func(jymember.Member) bool) []jymember.Member
}

// Config holds the settings and collaborators of Evidence.
type Config struct {
	Directory *jybackend.Directory
	Clients   *jypeer.Clients
	Fleet     Fleet
	Interval  time.Duration // between two periodic reports
	Timeout   time.Duration // of a call to a peer
}

// ringSize bounds the services in each queue. A dropped one is only delayed: its next periodic report carries its new counts, and
// the answers to reports carry changed verdicts.
const ringSize = 1024

// Evidence reports this instance's counts of requests, and aggregates the reports that this instance receives. ReportSoon, Report
// and Tell may be called concurrently.
type Evidence struct {
	config     Config
	urgent     *jyring.Ring[jynote.ServiceName] // services to report early
	changed    *jyring.Ring[jynote.ServiceName] // services whose aggregated verdicts changed
	aggregator *aggregator

	// The next four fields are used by Run alone.
	noteNumber     jynote.Number // of the note for which removeWithdrawn last removed data
	periodicIndex  int           // of the service that was last reported periodically
	lastSent       map[sentKey]jydetector.Counts
	localDetectors map[jynote.ServiceName]*jydetector.Detector

	mu      sync.Mutex
	applied map[jynote.ServiceName]verdictVersion // version of the last applied verdicts
}

// verdictVersion identifies the verdicts on a service. The number rises with each message of one run of an aggregating instance.
type verdictVersion struct {
	run    jymember.Run
	number uint64
}

// sentKey identifies a server in lastSent.
type sentKey struct {
	service jynote.ServiceName
	server  jydetector.ServerName
}

// New returns an Evidence that has sent and received no reports.
func New(c Config) *Evidence {
	e := &Evidence{
		config: c, urgent: jyring.New[jynote.ServiceName](ringSize), changed: jyring.New[jynote.ServiceName](ringSize),
		lastSent: map[sentKey]jydetector.Counts{}, localDetectors: map[jynote.ServiceName]*jydetector.Detector{},
		applied: map[jynote.ServiceName]verdictVersion{},
	}
	self := c.Fleet.Self()
	e.aggregator = newAggregator(jymember.Run{Name: self.Name, Boot: self.Boot}, c.Directory, e.changed.Push)
	return e
}

// ReportSoon makes Run report on the service early, instead of at its turn among the periodic reports.
func (e *Evidence) ReportSoon(s jynote.ServiceName) { e.urgent.Push(s) }

const (
	// urgentDivisor sets how long an early report waits for further failures: Config.Interval / urgentDivisor.
	urgentDivisor = 50
	// aggregatorsPerService is the number of instances that reports on a service may go to; they are tried in order.
	aggregatorsPerService = 2
	// maxPeriodicMessages bounds the periodic reports per interval; the services take turns.
	maxPeriodicMessages = 2
)

// Run sends reports and changed verdicts until ctx ends. It always returns nil.
func (e *Evidence) Run(ctx context.Context) error {
	periodic := time.NewTicker(e.config.Interval)
	defer periodic.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.urgent.Ready():
			// Failures during the wait go into the same report.
			jykernel.Wait(ctx, e.config.Interval/urgentDivisor)
			e.reportUrgent(ctx)
		case <-e.changed.Ready():
		case <-periodic.C:
			e.reportPeriodic(ctx)
		}
		e.pushVerdicts(ctx)
	}
}

// reportUrgent sends the changed counts of the services passed to ReportSoon.
func (e *Evidence) reportUrgent(ctx context.Context) {
	names := e.urgent.Drain(nil)
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	batches := map[jymember.Name]*batch{}
	snapshot := e.config.Directory.Snapshot()
	for _, name := range slices.Compact(names) {
		if v := snapshot.Service(name); v != nil {
			e.collect(batches, v)
		}
	}
	e.sendAll(ctx, batches)
}

// reportPeriodic sends the changed counts of the next services, in at most maxPeriodicMessages reports.
func (e *Evidence) reportPeriodic(ctx context.Context) {
	snapshot := e.config.Directory.Snapshot()
	e.removeWithdrawn(snapshot)
	services := snapshot.Services()
	batches := map[jymember.Name]*batch{}
	for range services {
		if len(batches) == maxPeriodicMessages {
			break
		}
		e.periodicIndex = (e.periodicIndex + 1) % len(services)
		e.collect(batches, services[e.periodicIndex])
	}
	e.sendAll(ctx, batches)
}

// removeWithdrawn removes the data on services and servers that are not in the current release state.
func (e *Evidence) removeWithdrawn(snapshot *jybackend.Snapshot) {
	if snapshot.State.Number == e.noteNumber {
		return
	}
	e.noteNumber = snapshot.State.Number
	current := map[sentKey]bool{}
	for _, b := range snapshot.State.BackendServers {
		current[sentKey{b.Service, jydetector.ServerName(b.Name)}] = true
	}
	maps.DeleteFunc(e.lastSent, func(k sentKey, _ jydetector.Counts) bool { return !current[k] })
	withdrawn := func(name jynote.ServiceName) bool { return snapshot.Service(name) == nil }
	maps.DeleteFunc(e.localDetectors, func(name jynote.ServiceName, _ *jydetector.Detector) bool { return withdrawn(name) })
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.applied, func(name jynote.ServiceName, _ verdictVersion) bool { return withdrawn(name) })
}

// collect updates the local verdicts on a service and adds its changed counts to the batch for its aggregating instance.
func (e *Evidence) collect(batches map[jymember.Name]*batch, v *jybackend.Service) {
	totals := e.totals(v)
	e.updateLocalVerdicts(time.Now(), v, totals)
	if len(totals) > 0 {
		e.assign(batches, v.Info.Name, totals)
	}
}

// sendAll sends each batch in a goroutine of its own, so that a slow peer delays no other report.
func (e *Evidence) sendAll(ctx context.Context, batches map[jymember.Name]*batch) {
	for _, b := range batches {
		go e.send(ctx, b)
	}
}

// totals returns the counts of the servers whose counts changed since the last report, and of all draining servers, and records
// them as sent.
func (e *Evidence) totals(v *jybackend.Service) []jydetector.Totals {
	var out []jydetector.Totals
	at := time.Now()
	for _, s := range v.Servers {
		key := sentKey{v.Info.Name, jydetector.ServerName(s.Info.Name)}
		now, base := s.Counts(), e.lastSent[key]
		if now.Attempts < base.Attempts {
			base = jydetector.Counts{} // a new server has the name
		}
		if now == base && !s.IsDraining(at) {
			continue
		}
		out = append(out, jydetector.Totals{Server: key.server, Base: base, Now: now, Draining: s.IsDraining(at)})
		e.lastSent[key] = now
	}
	return out
}

// updateLocalVerdicts detects servers that fail for this instance. With a single reporter no corroboration is needed, so this
// includes servers that only this instance cannot use. The verdicts apply to this instance alone.
func (e *Evidence) updateLocalVerdicts(now time.Time, v *jybackend.Service, totals []jydetector.Totals) {
	d := e.localDetectors[v.Info.Name]
	if d == nil {
		d = jydetector.New(detectorConfig(v.Info))
		e.localDetectors[v.Info.Name] = d
	}
	d.Configure(detectorConfig(v.Info))
	d.SetServers(now, detectorServers(v))
	d.Observe(now, jydetector.Report{Reporter: "self", Group: "self", Boot: 1, Totals: totals})
	v.SetLocalVerdicts(d.Verdicts())
}

func detectorConfig(s jynote.Service) jydetector.Config {
	return jydetector.Config{ServerDaysPerFalseEjection: s.ServerDaysPerFalseEjection, FloorSlots: s.Floor}
}

// detectorServers returns the servers of a service, sorted by name as Detector.SetServers needs them.
func detectorServers(v *jybackend.Service) []jydetector.Server {
	out := make([]jydetector.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		out = append(out, jydetector.Server{Name: jydetector.ServerName(s.Info.Name), Slots: s.Info.Slots})
	}
	slices.SortFunc(out, func(a, b jydetector.Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
