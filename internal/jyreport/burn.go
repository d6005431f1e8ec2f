package jyreport

import (
	"net/http"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jymetric"
	"github.com/jackdawyard/jackdawyard/pkg/jyburn"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// BurnRecorder counts the outcomes of this instance's requests by service.
type BurnRecorder struct {
	directory *jybackend.Directory
	metrics   *jymetric.Metrics
	mu        sync.Mutex
	meters    map[jynote.ServiceName]*jyburn.Meter
}

// NewBurnRecorder returns a burn without counts.
func NewBurnRecorder(d *jybackend.Directory, m *jymetric.Metrics) *BurnRecorder {
	return &BurnRecorder{directory: d, metrics: m, meters: map[jynote.ServiceName]*jyburn.Meter{}}
}

// Record counts one request.
func (b *BurnRecorder) Record(e jymetric.EndedRequest) {
	b.metrics.RecordRequest(e)
	v := b.directory.Snapshot().Service(e.Service)
	if v == nil {
		return
	}
	limit := time.Duration(v.Info.Objective.LatencyMilliseconds) * time.Millisecond
	good := e.Outcome == jyoutcome.Complete && e.Status < http.StatusInternalServerError && e.Latency <= limit
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.meters[e.Service]
	if m == nil {
		m = &jyburn.Meter{}
		b.meters[e.Service] = m
	}
	m.Add(time.Now(), good)
}

// ServiceBurn is the report of one service; it travels as JSON.
type ServiceBurn struct {
	Service   jynote.ServiceName
	Objective jynote.Objective
	// Series covers the last six hours by minutes, oldest first.
	Series []jyburn.Count
}

// Report is what one instance reports, or several added up.
type Report struct {
	Instances []string
	Services  []ServiceBurn
}

// Report returns this instance's counts, for services in the order of their names.
func (b *BurnRecorder) Report(instance string) Report {
	out := Report{Instances: []string{instance}}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.directory.Snapshot().Services() {
		m := b.meters[v.Info.Name]
		if m == nil {
			m = &jyburn.Meter{}
		}
		out.Services = append(out.Services, ServiceBurn{
			Service: v.Info.Name, Objective: v.Info.Objective,
			Series: m.Series(now, jyburn.Windows[len(jyburn.Windows)-1]),
		})
	}
	return out
}
