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
	routes   map[routeKey]tally.Counter
}

// EndedRequest is a request that has ended.
type EndedRequest struct {
	Route   jynote.RouteName
	Service jynote.ServiceName
	Outcome jyoutcome.Outcome
	// Cause is empty for a complete answer.
	Cause   jyoutcome.Reason
	Status  int
	Latency time.Duration
}

// maxRouteCounters bounds the counters by route; what goes beyond counts under otherRoute.
const (
	maxRouteCounters = 6000
	otherRoute       = "other"
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
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler(), requests: map[requestKey]requestMetrics{}, routes: map[routeKey]tally.Counter{}}
}

// Handler shows the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close flushes the metrics.
func (m *Metrics) Close() error { return m.closer.Close() }

// RecordRequest counts a request's outcome and latency by service, and its outcome and cause by route.
func (m *Metrics) RecordRequest(e EndedRequest) {
	r := m.request(requestKey{e.Service, e.Outcome})
	r.count.Inc(1)
	r.latency.RecordDuration(e.Latency)
	m.route(routeKey{e.Route, e.Outcome, e.Cause}).Inc(1)
}

func (m *Metrics) route(k routeKey) tally.Counter {
	m.mu.RLock()
	c, ok := m.routes[k]
	full := len(m.routes) >= maxRouteCounters
	m.mu.RUnlock()
	if ok {
		return c
	}
	if full && k.route != otherRoute {
		return m.route(routeKey{otherRoute, k.outcome, k.cause})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c = m.scope.Tagged(map[string]string{
		"route": string(k.route), "outcome": string(k.outcome), "cause": string(k.cause),
	}).Counter("route_requests")
	m.routes[k] = c
	return c
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

// SetGauge sets a gauge of the instance.
func (m *Metrics) SetGauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
