package jyproxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jyledger"
	"github.com/jackdawyard/jackdawyard/internal/jymetric"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/pkg/jyblock"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jylimit"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// noop implements the dependencies that a single instance does not need.
type noop struct{}

func (noop) Record(jymetric.EndedRequest)                         {}
func (noop) IsEmpty() bool                                        { return true }
func (noop) IsBlocked(jyblock.Fingerprint) bool                   { return false }
func (noop) RecordAnswer(jyblock.Fingerprint)                     {}
func (noop) RecordCrash(jyblock.Fingerprint, jyblock.Crash, bool) {}
func (noop) Relay(context.Context, jyproxy.RelayedRequest) (jydedup.Result, error) {
	return jydedup.Result{}, io.ErrUnexpectedEOF
}

// start runs an instance in front of one backend server and returns the URLs of both. The instance's release note also lists the
// unreachable servers.
func start(t testing.TB, backend http.HandlerFunc, unreachable ...jynote.BackendServer) (proxy, direct string) {
	p, direct := newProxy(t, backend, unreachable...)
	front := httptest.NewServer(p)
	t.Cleanup(front.Close)
	return front.URL, direct
}

// stateNumber is the number of the state that newProxy applies.
const stateNumber = 3

// newSplitProxy returns a proxy whose one route splits its requests among the services s1 and s2, each with one backend server.
func newSplitProxy(t testing.TB, backend func(service string) http.HandlerFunc) *jyproxy.Proxy {
	state := jynote.State{Number: stateNumber, Routes: []jynote.Route{{
		Name: "r", PathPrefix: "/", Split: []jynote.Share{{Service: "s1", Weight: 50}, {Service: "s2", Weight: 50}},
	}}}
	for _, name := range []string{"s1", "s2"} {
		server := httptest.NewServer(backend(name))
		t.Cleanup(server.Close)
		state.Services = append(state.Services, newService(jynote.ServiceName(name)))
		state.BackendServers = append(state.BackendServers, newServer(jynote.ServiceName(name), server))
	}
	return newProxyOf(state)
}

func newService(name jynote.ServiceName) jynote.Service {
	return jynote.Service{Name: name, DeadlineMilliseconds: 5000, MaxBodyBytes: 1 << 20, ServerDaysPerFalseEjection: 100}
}

func newServer(service jynote.ServiceName, s *httptest.Server) jynote.BackendServer {
	return jynote.BackendServer{
		Name: jynote.ServerName("b-" + service), Service: service, Address: strings.TrimPrefix(s.URL, "http://"), DataCentre: "d",
		Slots: 64, Connections: 300,
	}
}

// newProxy returns a proxy in front of one backend server, and the server's URL.
func newProxy(t testing.TB, backend http.HandlerFunc, unreachable ...jynote.BackendServer) (p *jyproxy.Proxy, direct string) {
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	return newProxyOf(jynote.State{
		Number:         stateNumber,
		Services:       []jynote.Service{newService("s")},
		BackendServers: append(unreachable, newServer("s", server)),
		Routes:         []jynote.Route{{Name: "r", PathPrefix: "/", Service: "s"}},
	}), server.URL
}

// newProxyOf returns a proxy with a state. change, if there is one, changes its configuration.
func newProxyOf(state jynote.State, change ...func(*jyproxy.Config, *jyproxy.ForwarderConfig)) *jyproxy.Proxy {
	d := jybackend.NewDirectory(jybackend.Config{
		ConnectTimeout: time.Second, MaxIdle: time.Minute, RetryBudgetShare: 0.2, Instance: "entry-1",
		CountInstances: func() int { return 1 }, InSameRegion: func(jynote.DataCentreName) bool { return true },
	})
	d.Apply(state)
	forwarder := jyproxy.ForwarderConfig{
		IdleProofOfLife: time.Second, SilentConnectionLag: time.Second, OnEvidence: func(jynote.ServiceName) {}, BlockList: noop{},
	}
	c := jyproxy.Config{
		Directory: d,
		Ledger: jyledger.New(jydedup.Config{
			Self: jydedup.Issuer{Instance: "entry-1", Boot: 1}, Secret: []byte("secret"), Boot: time.Now(),
			Lifetime: time.Minute, Retention: time.Minute, MaxRecords: 1000, MaxReplayBytes: 1000, MaxKeptBytes: 1 << 20,
		}),
		Relayer: noop{}, Recorder: noop{},
		CallerLimiter: jyproxy.NewCallerLimiter(jylimit.Config{Rate: 1e6, Burst: 1e6, Concurrency: 1000, MaxCallers: 1000}),
		CallerHeader:  "Authorization", MaxConcurrent: 1000, MaxAnswerBytes: 1 << 20,
	}
	for _, f := range change {
		f(&c, &forwarder)
	}
	c.Forwarder = jyproxy.NewForwarder(forwarder)
	return jyproxy.New(c)
}

func TestOnlyEndToEndHeadersAreForwarded(t *testing.T) {
	var seen http.Header
	proxy, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "yes")
		w.Header().Set(jyoutcome.Header, string(jyoutcome.NotRun))
		w.WriteHeader(http.StatusNoContent)
	})
	req, err := http.NewRequest(http.MethodGet, proxy+"/x", nil)
	require.NoError(t, err)
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "yes")
	req.Header.Set("X-Through", "yes")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, http.StatusNoContent, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("X-Private"))
	assert.Equal(t, []string{string(jyoutcome.Complete)}, resp.Header.Values(jyoutcome.Header))
	assert.Empty(t, resp.Header.Get("Content-Length"))
	assert.Empty(t, seen.Get("X-Hop"))
	assert.Equal(t, "yes", seen.Get("X-Through"))
	assert.Equal(t, "127.0.0.1", seen.Get(jyproxy.HeaderForwardedFor))
	assert.NotEmpty(t, seen.Get(jyproxy.HeaderRemaining))
}

// A retry after a server error may fail to connect, which by itself means that the request did not run. The outcome must still
// count the attempt that ran.
func TestServerErrorIsNeverReportedAsNotRun(t *testing.T) {
	unreachable := jynote.BackendServer{Name: "away", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 64, Connections: 300}
	// Repeated because the first server is chosen at random.
	for range 20 {
		ran := false
		proxy, _ := start(t, func(w http.ResponseWriter, _ *http.Request) {
			ran = true
			w.WriteHeader(http.StatusInternalServerError)
		}, unreachable)
		resp, err := http.Get(proxy + "/x")
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		if ran {
			assert.NotEqual(t, string(jyoutcome.NotRun), resp.Header.Get(jyoutcome.Header))
		}
	}
}

func TestRequestIDOfUnreachableIssuerHasUnknownOutcome(t *testing.T) {
	proxy, _ := start(t, func(http.ResponseWriter, *http.Request) { t.Error("the request must not run") })
	req, err := http.NewRequest(http.MethodPost, proxy+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set(jyproxy.HeaderIdempotencyKey, "entry-2~1~1~0~00112233445566778899aabbccddeeff")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, string(jyoutcome.Unknown), resp.Header.Get(jyoutcome.Header))
}

// BenchmarkRequest measures the overhead of an instance: the difference between its two sub-benchmarks.
func BenchmarkRequest(b *testing.B) {
	proxy, direct := start(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) })
	for name, url := range map[string]string{"proxy": proxy, "direct": direct} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get(url)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
