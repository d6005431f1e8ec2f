package jymetric

import (
	"io"
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	tally "github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

const flushInterval = time.Second

// Metrics holds the scopes of one instance.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	mu       sync.RWMutex
	requests map[requestKey]requestMetrics
}

type requestKey struct {
	service jynote.ServiceName
	outcome jyoutcome.Outcome
}

type requestMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// New returns metrics with the prefix "jackdawyard".
func New() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jackdawyard", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, flushInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler(), requests: map[requestKey]requestMetrics{}}
}

// Handler shows the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close flushes the metrics.
func (m *Metrics) Close() error { return m.closer.Close() }

// Request counts a request's outcome and latency.
func (m *Metrics) Request(s jynote.ServiceName, o jyoutcome.Outcome, latency time.Duration) {
	r := m.request(requestKey{s, o})
	r.count.Inc(1)
	r.latency.RecordDuration(latency)
}

func (m *Metrics) request(k requestKey) requestMetrics {
	m.mu.RLock()
	r, ok := m.requests[k]
	m.mu.RUnlock()
	if ok {
		return r
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	scope := m.scope.Tagged(map[string]string{"service": string(k.service), "outcome": string(k.outcome)})
	r = requestMetrics{
		count:   scope.Counter("requests"),
		latency: scope.Histogram("latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
	m.requests[k] = r
	return r
}

// Gauge sets a gauge of the instance.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
