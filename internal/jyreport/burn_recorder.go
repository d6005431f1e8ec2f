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

// BurnRecorder records the outcomes of this instance's requests in the metrics and counts them by service. It is safe for
// concurrent use.
type BurnRecorder struct {
	directory *jybackend.Directory
	metrics   *jymetric.Metrics
	mu        sync.Mutex
	meters    map[jynote.ServiceName]*jyburn.Meter
}

// NewBurnRecorder returns a recorder without counts, for the services and objectives in the directory.
func NewBurnRecorder(d *jybackend.Directory, m *jymetric.Metrics) *BurnRecorder {
	return &BurnRecorder{directory: d, metrics: m, meters: map[jynote.ServiceName]*jyburn.Meter{}}
}

// Record records one request in the metrics, and counts it as good or bad unless its service is unknown. It is good if its answer
// is complete, has a status below 500 and arrived within the latency of the service's objective.
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

// ServiceBurn is the report of one service. It is sent as JSON.
type ServiceBurn struct {
	Service   jynote.ServiceName
	Objective jynote.Objective
	// Series has one count for each minute of the last six hours, oldest first.
	Series []jyburn.Count
}

// Report is the report of one instance, or the sum of several.
type Report struct {
	Instances []string
	Services  []ServiceBurn
}

// Report returns this instance's counts of all services, in the order of their names. instance is the name of this instance.
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
