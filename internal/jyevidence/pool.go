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

// poolMemory is how long a service is pooled here after its last report.
const poolMemory = 10 * time.Minute

// pool holds the detectors of the services whose evidence this instance pools.
type pool struct {
	self      jymember.Run
	directory *jybackend.Directory
	onChange  func(jynote.ServiceName)
	mu        sync.Mutex
	services  map[jynote.ServiceName]*pooled
}

type pooled struct {
	detector  *jydetector.Detector
	reporters map[jymember.Name]time.Time // when each reported last
	reported  time.Time
	version   uint64 // of the last statement
}

// state returns the service's verdicts as they are told to reporters.
func (p *pool) state(now time.Time, name jynote.ServiceName, s *pooled) *jywire.ServiceVerdicts {
	s.version++
	return &jywire.ServiceVerdicts{
		Service: string(name), Verdicts: jypeer.VerdictsToWire(now, s.detector.Verdicts()),
		PooledBy: jypeer.RunToWire(p.self), Version: s.version,
	}
}

func newPool(self jymember.Run, d *jybackend.Directory, onChange func(jynote.ServiceName)) *pool {
	return &pool{self: self, directory: d, onChange: onChange, services: map[jynote.ServiceName]*pooled{}}
}

// take adds a report to the evidence and returns the verdicts on its services.
func (p *pool) take(r *jywire.ReportRequest) []*jywire.ServiceVerdicts {
	snapshot := p.directory.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.forget(now)
	var out []*jywire.ServiceVerdicts
	for _, s := range r.GetServices() {
		v := snapshot.Service(jynote.ServiceName(s.GetService()))
		if v == nil {
			continue
		}
		d := p.service(now, v, jymember.Name(r.GetReporter()))
		report := jydetector.Report{
			Reporter: jydetector.ReporterName(r.GetReporter()), Group: jydetector.GroupName(r.GetDataCentre()), Boot: r.GetBoot(),
		}
		for _, t := range s.GetTotals() {
			report.Totals = append(report.Totals, jypeer.TotalsFromWire(t))
		}
		p.log(v, d.detector.Observe(now, report))
		out = append(out, p.state(now, v.Info.Name, d))
	}
	return out
}

func (p *pool) service(now time.Time, v *jybackend.Service, reporter jymember.Name) *pooled {
	s := p.services[v.Info.Name]
	if s == nil {
		s = &pooled{detector: jydetector.New(configOf(v.Info)), reporters: map[jymember.Name]time.Time{}}
		p.services[v.Info.Name] = s
	}
	s.reporters[reporter] = now
	s.reported = now
	s.detector.Configure(configOf(v.Info))
	s.detector.SetServers(now, serversOf(v))
	return s
}

func (p *pool) forget(now time.Time) {
	for name, s := range p.services {
		if now.Sub(s.reported) > poolMemory {
			delete(p.services, name)
		}
	}
}

// verdictsFor returns the verdicts on those of the services that the instance reports on.
func (p *pool) verdictsFor(services []jynote.ServiceName, to jymember.Name) []*jywire.ServiceVerdicts {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []*jywire.ServiceVerdicts
	for _, name := range services {
		s := p.services[name]
		if s == nil || s.reporters[to].IsZero() {
			continue
		}
		out = append(out, p.state(now, name, s))
	}
	return out
}

func (p *pool) log(v *jybackend.Service, changes []jydetector.Change) {
	for _, c := range changes {
		logChange(v.Info, c)
	}
	if len(changes) > 0 {
		p.onChange(v.Info.Name)
	}
}

func logChange(s jynote.Service, c jydetector.Change) {
	switch {
	case c.Withheld == jydetector.AtFloor:
		jylog.FloorHeld.Log(s.Name, c.Server, s.Floor)
	case c.Withheld == jydetector.ServiceFault:
		jylog.ServiceFault.Log(s.Name, c.Server)
	case c.To == jydetector.Ejected:
		jylog.ServerEjected.Log(s.Name, c.Server, c.Cause, c.Score)
	case c.To == jydetector.Probation:
		jylog.ServerProbation.Log(s.Name, c.Server)
	case c.To == jydetector.Draining:
		jylog.ServerDraining.Log(s.Name, c.Server)
	case c.To == jydetector.Healthy:
		jylog.ServerReturned.Log(s.Name, c.Server)
	}
}
