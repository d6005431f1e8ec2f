package jyevidence

import (
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydetector"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// aggregateTTL is how long the evidence about a service is kept after its last report.
const aggregateTTL = 10 * time.Minute

// aggregator holds the evidence about the services that this instance aggregates.
type aggregator struct {
	self       jymember.Run
	directory  *jybackend.Directory
	onChange   func(jynote.ServiceName) // called when a verdict on the service has changed or an ejection was withheld
	mu         sync.Mutex
	aggregates map[jynote.ServiceName]*aggregate
}

// aggregate is the evidence about one service.
type aggregate struct {
	detector     *jydetector.Detector
	lastReportBy map[jymember.Name]time.Time
	lastReport   time.Time
	version      uint64 // of the last verdicts that were sent; rises with each message
}

// serviceVerdicts returns the verdicts on a service in the wire format, with a new version.
func (a *aggregator) serviceVerdicts(now time.Time, name jynote.ServiceName, g *aggregate) *jywire.ServiceVerdicts {
	g.version++
	return &jywire.ServiceVerdicts{
		Service: string(name), Verdicts: jypeer.VerdictsToWire(now, g.detector.Verdicts()),
		PooledBy: jypeer.RunToWire(a.self), Version: g.version,
	}
}

func newAggregator(self jymember.Run, d *jybackend.Directory, onChange func(jynote.ServiceName)) *aggregator {
	return &aggregator{self: self, directory: d, onChange: onChange, aggregates: map[jynote.ServiceName]*aggregate{}}
}

// record adds a report to the evidence and returns the current verdicts on its services. It ignores services that are not in
// the current release state.
func (a *aggregator) record(r *jywire.ReportRequest) []*jywire.ServiceVerdicts {
	snapshot := a.directory.Snapshot()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.expire(now)
	var out []*jywire.ServiceVerdicts
	for _, s := range r.GetServices() {
		v := snapshot.Service(jynote.ServiceName(s.GetService()))
		if v == nil {
			continue
		}
		g := a.aggregateOf(now, v, jymember.Name(r.GetReporter()))
		report := jydetector.Report{
			Reporter: jydetector.ReporterName(r.GetReporter()), Group: jydetector.GroupName(r.GetDataCentre()), Boot: r.GetBoot(),
		}
		for _, t := range s.GetTotals() {
			report.Totals = append(report.Totals, jypeer.TotalsFromWire(t))
		}
		a.handleChanges(v, g.detector.Observe(now, report))
		out = append(out, a.serviceVerdicts(now, v.Info.Name, g))
	}
	return out
}

// aggregateOf returns the evidence about a service, with the current settings and servers, and records the time of the reporter's
// report. The caller has locked mu.
func (a *aggregator) aggregateOf(now time.Time, v *jybackend.Service, reporter jymember.Name) *aggregate {
	g := a.aggregates[v.Info.Name]
	if g == nil {
		g = &aggregate{detector: jydetector.New(detectorConfig(v.Info)), lastReportBy: map[jymember.Name]time.Time{}}
		a.aggregates[v.Info.Name] = g
	}
	g.lastReportBy[reporter] = now
	g.lastReport = now
	g.detector.Configure(detectorConfig(v.Info))
	g.detector.SetServers(now, detectorServers(v))
	return g
}

// expire removes the evidence that is older than aggregateTTL. The caller has locked mu.
func (a *aggregator) expire(now time.Time) {
	for name, g := range a.aggregates {
		if now.Sub(g.lastReport) > aggregateTTL {
			delete(a.aggregates, name)
		}
	}
}

// verdictsFor returns the verdicts on those of the services on which the given instance has sent reports to this one.
func (a *aggregator) verdictsFor(services []jynote.ServiceName, to jymember.Name) []*jywire.ServiceVerdicts {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var out []*jywire.ServiceVerdicts
	for _, name := range services {
		g := a.aggregates[name]
		if g == nil || g.lastReportBy[to].IsZero() {
			continue
		}
		out = append(out, a.serviceVerdicts(now, name, g))
	}
	return out
}

// handleChanges logs the changes of a service and calls onChange if there are any.
func (a *aggregator) handleChanges(v *jybackend.Service, changes []jydetector.Change) {
	for _, c := range changes {
		logChange(v.Info, c)
	}
	if len(changes) > 0 {
		a.onChange(v.Info.Name)
	}
}

// logChange logs a change, unless it is the start of a Cold phase.
func logChange(s jynote.Service, c jydetector.Change) {
	switch {
	case c.Withheld == jydetector.AtFloor:
		jylog.EjectionWithheld.Log(s.Name, c.Server, s.Floor)
	case c.Withheld == jydetector.ServiceFault:
		jylog.ServiceFault.Log(s.Name, c.Server)
	case c.To == jydetector.Ejected:
		jylog.ServerEjected.Log(s.Name, c.Server, c.Cause, c.Score)
	case c.To == jydetector.Probation:
		jylog.ServerProbation.Log(s.Name, c.Server)
	case c.To == jydetector.Draining:
		jylog.ServerDraining.Log(s.Name, c.Server)
	case c.To == jydetector.Healthy:
		jylog.ServerRecovered.Log(s.Name, c.Server)
	}
}
