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

// flushInterval is how often tally passes the recorded values on to the Prometheus reporter.
const flushInterval = time.Second

// Metrics records the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	mu       sync.RWMutex // protects the maps below
	requests map[requestKey]requestMetrics
	routes   map[routeKey]tally.Counter
	accounts map[jynote.AccountName]AccountMetrics
}

// EndedRequest is a finished request with its outcome.
type EndedRequest struct {
	Route   jynote.RouteName
	Service jynote.ServiceName
	Outcome jyoutcome.Outcome
	// Cause is empty for a complete answer with a status below 500.
	Cause  jyoutcome.Reason
	Status int
	// Latency is the time from the arrival of the request until its outcome was known.
	Latency time.Duration
}

// Once there are maxRouteCounters counters by route, outcome and cause, requests that would need a new one count under
// overflowRoute.
const (
	maxRouteCounters = 6000
	overflowRoute    = "other"
)

type routeKey struct {
	route   jynote.RouteName
	outcome jyoutcome.Outcome
	cause   jyoutcome.Reason
}

type requestKey struct {
	service jynote.ServiceName
	outcome jyoutcome.Outcome
}

type requestMetrics struct {
	count   tally.Counter
	latency tally.Histogram // buckets from 1 ms to 33 s, each twice the one before
}

// New returns empty metrics whose names begin with "jackdawyard".
func New() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jackdawyard", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, flushInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler(), requests: map[requestKey]requestMetrics{}, routes: map[routeKey]tally.Counter{},
		accounts: map[jynote.AccountName]AccountMetrics{}}
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close passes the last values to the handler and ends the regular flushes.
func (m *Metrics) Close() error { return m.closer.Close() }

// RecordRequest records a request's outcome and latency by service, and its outcome and cause by route.
func (m *Metrics) RecordRequest(e EndedRequest) {
	r := m.requestMetricsFor(requestKey{e.Service, e.Outcome})
	r.count.Inc(1)
	r.latency.RecordDuration(e.Latency)
	m.routeCounter(routeKey{e.Route, e.Outcome, e.Cause}).Inc(1)
}

// routeCounter returns the counter of a route, outcome and cause, or that of overflowRoute if there are too many.
func (m *Metrics) routeCounter(k routeKey) tally.Counter {
	m.mu.RLock()
	c, ok := m.routes[k]
	isFull := len(m.routes) >= maxRouteCounters
	m.mu.RUnlock()
	if ok {
		return c
	}
	if isFull && k.route != overflowRoute {
		return m.routeCounter(routeKey{overflowRoute, k.outcome, k.cause})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c = m.scope.Tagged(map[string]string{
		"route": string(k.route), "outcome": string(k.outcome), "cause": string(k.cause),
	}).Counter("route_requests")
	m.routes[k] = c
	return c
}

// requestMetricsFor returns the metrics of a service and outcome, and registers them on first use.
func (m *Metrics) requestMetricsFor(k requestKey) requestMetrics {
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

// SetServiceGauge sets the gauge with that name of a service.
func (m *Metrics) SetServiceGauge(name string, service jynote.ServiceName, v float64) {
	m.serviceScope(service).Gauge(name).Update(v)
}

// AddServiceCount adds n to the counter with that name of a service.
func (m *Metrics) AddServiceCount(name string, service jynote.ServiceName, n uint64) {
	m.serviceScope(service).Counter(name).Inc(int64(n))
}

func (m *Metrics) serviceScope(service jynote.ServiceName) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": string(service)})
}

// SetGauge sets the gauge with that name, to which the prefix "jackdawyard" is added.
func (m *Metrics) SetGauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
