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

// Fleet is what is asked of the membership.
type Fleet interface {
	Self() jymember.Member
	Members() []jymember.Member
	RankedForKey(key string, count int, only func(jymember.Member) bool) []jymember.Member
}

// Config sets up the evidence duties.
type Config struct {
	Directory *jybackend.Directory
	Clients   *jypeer.Clients
	Fleet     Fleet
	Interval  time.Duration
	Timeout   time.Duration
}

// ringSize bounds the services that wait to be reported; each is reported with all that is new anyway.
const ringSize = 1024

// Evidence is the reporter of this instance and the pool of those that report to it.
type Evidence struct {
	config  Config
	urgent  *jyring.Ring[jynote.ServiceName]
	changed *jyring.Ring[jynote.ServiceName] // services whose pooled verdicts changed
	pool    *pool

	// What follows belongs to Run; number is the note whose services and servers the maps hold.
	number jynote.Number
	turn   int // of the services that are reported without urgency
	sent   map[sentKey]jydetector.Counts
	local  map[jynote.ServiceName]*jydetector.Detector

	mu   sync.Mutex
	told map[jynote.ServiceName]statement // the last that was followed
}

// statement identifies what a pooling instance said of a service.
type statement struct {
	by      jymember.Run
	version uint64
}

type sentKey struct {
	service jynote.ServiceName
	server  jydetector.ServerName
}

// New returns evidence duties that have seen nothing.
func New(c Config) *Evidence {
	e := &Evidence{
		config: c, urgent: jyring.New[jynote.ServiceName](ringSize), changed: jyring.New[jynote.ServiceName](ringSize),
		sent: map[sentKey]jydetector.Counts{}, local: map[jynote.ServiceName]*jydetector.Detector{},
		told: map[jynote.ServiceName]statement{},
	}
	self := c.Fleet.Self()
	e.pool = newPool(jymember.Run{Name: self.Name, Boot: self.Boot}, c.Directory, e.changed.Push)
	return e
}

// ReportSoon makes the next report of the service an early one.
func (e *Evidence) ReportSoon(s jynote.ServiceName) { e.urgent.Push(s) }

const (
	// urgentFraction is the part of the report interval after which failures are reported at the latest.
	urgentFraction = 50
	// pooledBy is the number of instances that a service's reports may go to: the first that answers takes them.
	pooledBy = 2
	// quietMessages bounds the messages without urgency in one interval; the services take turns in them.
	quietMessages = 2
)

// Run reports until ctx ends.
func (e *Evidence) Run(ctx context.Context) error {
	quiet := time.NewTicker(e.config.Interval)
	defer quiet.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.urgent.Ready():
			// What fails in the meantime travels with it.
			jykernel.Wait(ctx, e.config.Interval/urgentFraction)
			e.reportUrgent(ctx)
		case <-e.changed.Ready():
		case <-quiet.C:
			e.reportQuiet(ctx)
		}
		e.tell(ctx)
	}
}

// reportUrgent sends what is new of the services with failures.
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

// reportQuiet sends what is new of the services whose turn it is.
func (e *Evidence) reportQuiet(ctx context.Context) {
	snapshot := e.config.Directory.Snapshot()
	e.forgetWithdrawn(snapshot)
	services := snapshot.Services()
	batches := map[jymember.Name]*batch{}
	for range services {
		if len(batches) == quietMessages {
			break
		}
		e.turn = (e.turn + 1) % len(services)
		e.collect(batches, services[e.turn])
	}
	e.sendAll(ctx, batches)
}

// forgetWithdrawn drops what is held of services and servers that are no longer in force.
func (e *Evidence) forgetWithdrawn(snapshot *jybackend.Snapshot) {
	if snapshot.State.Number == e.number {
		return
	}
	e.number = snapshot.State.Number
	inForce := map[sentKey]bool{}
	for _, b := range snapshot.State.BackendServers {
		inForce[sentKey{b.Service, jydetector.ServerName(b.Name)}] = true
	}
	maps.DeleteFunc(e.sent, func(k sentKey, _ jydetector.Counts) bool { return !inForce[k] })
	withdrawn := func(name jynote.ServiceName) bool { return snapshot.Service(name) == nil }
	maps.DeleteFunc(e.local, func(name jynote.ServiceName, _ *jydetector.Detector) bool { return withdrawn(name) })
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.told, func(name jynote.ServiceName, _ statement) bool { return withdrawn(name) })
}

// collect adds what is new of a service to the batch for its pooling instance.
func (e *Evidence) collect(batches map[jymember.Name]*batch, v *jybackend.Service) {
	totals := e.totals(v)
	e.judgeLocally(time.Now(), v, totals)
	if len(totals) > 0 {
		e.assign(batches, v.Info.Name, totals)
	}
}

func (e *Evidence) sendAll(ctx context.Context, batches map[jymember.Name]*batch) {
	for _, b := range batches {
		go e.send(ctx, b)
	}
}

// totals returns the counts that changed since they were last sent.
func (e *Evidence) totals(v *jybackend.Service) []jydetector.Totals {
	var out []jydetector.Totals
	at := time.Now()
	for _, s := range v.Servers {
		key := sentKey{v.Info.Name, jydetector.ServerName(s.Info.Name)}
		now, base := s.Counts(), e.sent[key]
		if now.Attempts < base.Attempts {
			base = jydetector.Counts{} // the server was replaced under its name
		}
		if now == base && !s.IsDraining(at) {
			continue
		}
		out = append(out, jydetector.Totals{Server: key.server, Base: base, Now: now, Draining: s.IsDraining(at)})
		e.sent[key] = now
	}
	return out
}

// judgeLocally finds servers that only this instance cannot use; nobody else is told.
func (e *Evidence) judgeLocally(now time.Time, v *jybackend.Service, totals []jydetector.Totals) {
	d := e.local[v.Info.Name]
	if d == nil {
		d = jydetector.New(configOf(v.Info))
		e.local[v.Info.Name] = d
	}
	d.Configure(configOf(v.Info))
	d.SetServers(now, serversOf(v))
	d.Observe(now, jydetector.Report{Reporter: "self", Group: "self", Boot: 1, Totals: totals})
	v.SetLocalVerdicts(d.Verdicts())
}

func configOf(s jynote.Service) jydetector.Config {
	return jydetector.Config{ServerDaysPerFalseEjection: s.ServerDaysPerFalseEjection, FloorSlots: s.Floor}
}

func serversOf(v *jybackend.Service) []jydetector.Server {
	out := make([]jydetector.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		out = append(out, jydetector.Server{Name: jydetector.ServerName(s.Info.Name), Slots: s.Info.Slots})
	}
	slices.SortFunc(out, func(a, b jydetector.Server) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
