package scenario_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// hosted is an instance that follows the platform's store, as a process of its own.
type hosted struct {
	t       *testing.T
	store   *jyhoststandin.Store
	caller  jyhoststandin.Caller
	ready   string
	process *exec.Cmd
	log     string // the file with its log
	ended   chan struct{}
	count   int
}

// startHosted starts an instance before the servers, and waits until it is ready.
func startHosted(t *testing.T, servers ...*jyhoststandin.Server) *hosted {
	h := &hosted{t: t, store: jyhoststandin.NewStore(), ended: make(chan struct{})}
	for _, s := range servers {
		t.Cleanup(s.Close)
		s.Register(h.store)
	}
	h.store.PublishConfiguration(3, "s1")
	front := httptest.NewServer(h.store)
	t.Cleanup(front.CloseClientConnections)
	var address [3]string
	for i := range address {
		free, err := jystandin.FreeAddress()
		require.NoError(t, err)
		address[i] = free
	}
	h.caller = jyhoststandin.Caller{Address: address[0], Remaining: 5 * time.Second, Timeout: patience}
	h.ready = address[2]
	file := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[Instance]\nName = entry-1\nDataCentre = dc-1\nCallerAddress = %s\nPeerAddress = %s\nOperatorAddress = %s\nBalancerNotice = 200ms\n"+
		"[Platform]\nSource = Store\nConfigurationAddress = %s\n[Peers]\nPlaintextLoopback = true\n[BackendServers]\nPlacing = Loss\nRetryBudgetSlack = 50\nIdleProofOfLife = 5s\n",
		address[0], address[1], address[2], front.URL)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	h.log = filepath.Join(t.TempDir(), "entry.log")
	out, err := os.Create(h.log)
	require.NoError(t, err)
	t.Cleanup(func() { _ = out.Close() })
	h.process = exec.Command(program, "serve")
	h.process.Env = append(os.Environ(), "JACKDAWYARD_CONFIG="+file)
	h.process.Stdout, h.process.Stderr = out, os.Stderr
	require.NoError(t, h.process.Start())
	go func() {
		_ = h.process.Wait()
		close(h.ended)
	}()
	t.Cleanup(func() {
		_ = h.process.Process.Kill()
		<-h.ended
	})
	h.eventually(func() bool { return h.isReady() })
	return h
}

func (h *hosted) eventually(what func() bool) {
	h.t.Helper()
	require.Eventually(h.t, what, patience, pollInterval)
}

func (h *hosted) isReady() bool {
	resp, err := http.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask sends a request with an id of its own.
func (h *hosted) ask(method, path string) jyhoststandin.Response {
	h.count++
	return h.caller.Send(fmt.Sprintf("request-%d", h.count), method, path)
}

func TestAHostedInstancePassesTheServersWholeAnswerOn(t *testing.T) {
	server := jyhoststandin.NewServer("i-1", "s1")
	h := startHosted(t, server)
	a := h.ask(http.MethodPost, "/unsafe/x?y=%2F&z")
	require.NoError(t, a.Err)
	assert.Equal(t, http.StatusOK, a.Status)
	assert.Equal(t, "answer to "+a.ID, a.Body)
	assert.Equal(t, "signature-"+a.ID, a.Signature)
	seen := server.Requests()[0]
	assert.Equal(t, "i-1", seen.ExpectedServer)
	assert.Equal(t, a.ID, seen.ID)
	assert.Positive(t, seen.Remaining)
	assert.Less(t, seen.Remaining, time.Second, "the route's timeout is shorter than the caller's time")
	assert.Equal(t, http.StatusNotFound, h.ask(http.MethodGet, "/none/x").Status)
	assert.Equal(t, http.StatusNotFound, h.ask(http.MethodGet, "/safe").Status)
}

func TestWhatBecomesOfANonIdempotentRequestAtAFaultyServer(t *testing.T) {
	tests := map[jyhoststandin.Fault]struct {
		status int
		runs   int
	}{
		jyhoststandin.Errors:    {http.StatusInternalServerError, 1},
		jyhoststandin.Shed:      {http.StatusServiceUnavailable, 0},
		jyhoststandin.Hang:      {http.StatusGatewayTimeout, 1},
		jyhoststandin.Reset:     {http.StatusBadGateway, 1},
		jyhoststandin.Unsigned:  {http.StatusBadGateway, 1},
		jyhoststandin.Truncated: {http.StatusBadGateway, 1},
		jyhoststandin.Encoded:   {http.StatusBadGateway, 1},
		jyhoststandin.Stray:     {http.StatusOK, 1},
		jyhoststandin.Extra:     {http.StatusOK, 1},
	}
	server := jyhoststandin.NewServer("i-1", "s1")
	h := startHosted(t, server)
	for fault, tt := range tests {
		t.Run(string(fault), func(t *testing.T) {
			server.SetFault(fault)
			a := h.ask(http.MethodPost, "/unsafe/x")
			require.NoError(t, a.Err)
			assert.Equal(t, tt.status, a.Status)
			assert.Equal(t, tt.runs, server.RunCounts()[a.ID])
			server.SetFault(jyhoststandin.None)
			again := h.ask(http.MethodPost, "/unsafe/x")
			require.NoError(t, again.Err)
			assert.Equal(t, "answer to "+again.ID, again.Body, "nothing is left of the faulty answer")
		})
	}
}

func TestAnIdempotentRequestIsSentToAnotherServer(t *testing.T) {
	for _, fault := range []jyhoststandin.Fault{jyhoststandin.Errors, jyhoststandin.Shed, jyhoststandin.Reset, jyhoststandin.Unsigned, jyhoststandin.Truncated} {
		t.Run(string(fault), func(t *testing.T) {
			bad, good := jyhoststandin.NewServer("i-1", "s1"), jyhoststandin.NewServer("i-2", "s1")
			h := startHosted(t, bad, good)
			bad.SetFault(fault)
			for range 5 {
				a := h.ask(http.MethodGet, "/safe/x")
				require.NoError(t, a.Err)
				assert.Equal(t, "answer to "+a.ID, a.Body)
			}
		})
	}
}

// hasLogged reports whether the instance has logged the text.
func (h *hosted) hasLogged(text string) bool {
	raw, err := os.ReadFile(h.log)
	require.NoError(h.t, err)
	return strings.Contains(string(raw), text)
}

func TestADrainingServerGetsNoNewRequest(t *testing.T) {
	leaving, staying := jyhoststandin.NewServer("i-1", "s1"), jyhoststandin.NewServer("i-2", "s1")
	h := startHosted(t, leaving, staying)
	leaving.Drain(h.store)
	h.eventually(func() bool {
		if !h.hasLogged("Servers=1\n") {
			return false
		}
		before := len(leaving.RunCounts())
		for range 10 {
			h.ask(http.MethodGet, "/safe/x")
		}
		return len(leaving.RunCounts()) == before
	})
	for range 20 {
		a := h.ask(http.MethodPost, "/unsafe/x")
		require.NoError(t, a.Err)
		assert.Zero(t, leaving.RunCounts()[a.ID])
	}
}

func TestARouteThatMovedStaysWhereItIs(t *testing.T) {
	first, second := jyhoststandin.NewServer("i-1", "s1"), jyhoststandin.NewServer("i-2", "s2")
	h := startHosted(t, first, second)
	h.store.PublishConfiguration(9, "s2")
	h.eventually(func() bool {
		a := h.ask(http.MethodPost, "/unsafe/x")
		return second.RunCounts()[a.ID] == 1
	})
	h.store.PublishConfiguration(5, "s1")
	h.store.Compact()
	for range 20 {
		a := h.ask(http.MethodPost, "/unsafe/x")
		require.NoError(t, a.Err)
		assert.Equal(t, 1, second.RunCounts()[a.ID], "an older version never comes into force")
		time.Sleep(pollInterval)
	}
}

func TestTheStoreMayBeAway(t *testing.T) {
	server := jyhoststandin.NewServer("i-1", "s1")
	h := startHosted(t, server)
	h.store.SetUnavailable(true)
	for range 10 {
		assert.Equal(t, http.StatusOK, h.ask(http.MethodPost, "/unsafe/x").Status)
		time.Sleep(pollInterval)
	}
	assert.True(t, h.isReady())
	h.store.SetUnavailable(false)
	h.store.PublishConfiguration(9, "s2")
	h.eventually(func() bool { return h.ask(http.MethodPost, "/unsafe/x").Status == http.StatusServiceUnavailable })
}

func TestAHostedInstanceEndsWithoutCuttingRequestsOff(t *testing.T) {
	server := jyhoststandin.NewServer("i-1", "s1")
	h := startHosted(t, server)
	require.NoError(t, h.process.Process.Signal(syscall.SIGHUP), "a signal to read the settings again ends nothing")
	server.SetDelay(600 * time.Millisecond)
	var wg sync.WaitGroup
	answers := make([]jyhoststandin.Response, 8)
	for i := range answers {
		wg.Go(func() { answers[i] = h.caller.Send(fmt.Sprintf("long-%d", i), http.MethodPost, "/unsafe/x") })
	}
	h.eventually(func() bool { return len(server.RunCounts()) == len(answers) })
	require.NoError(t, h.process.Process.Signal(syscall.SIGTERM))
	h.eventually(func() bool { return !h.isReady() })
	wg.Wait()
	for _, a := range answers {
		require.NoError(t, a.Err)
		assert.Equal(t, "answer to "+a.ID, a.Body)
	}
	<-h.ended
	_, err := net.DialTimeout("tcp", h.caller.Address, time.Second)
	assert.Error(t, err)
}

func TestTheCauseOfAFailureIsFoundInTheLog(t *testing.T) {
	tests := map[string]struct {
		fault  jyhoststandin.Fault
		reason string
	}{
		"refused, since the server shed it":         {jyhoststandin.Shed, "said that it did not run the request"},
		"failed at a gray server after one attempt": {jyhoststandin.Errors, "the backend server answered with an error"},
		"unknown after a lost connection":           {jyhoststandin.Reset, "it may have run"},
	}
	server := jyhoststandin.NewServer("i-1", "s1")
	h := startHosted(t, server)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server.SetFault(tt.fault)
			a := h.ask(http.MethodPost, "/unsafe/x")
			require.NoError(t, a.Err)
			h.eventually(func() bool {
				told, err := exec.Command(program, "explain", a.ID, h.log).CombinedOutput()
				return err == nil && strings.Contains(string(told), tt.reason) && strings.Contains(string(told), "Server=i-1-")
			})
		})
	}
}

func TestARequestThatEndsServersIsStopped(t *testing.T) {
	var servers []*jyhoststandin.Server
	for i := range 5 {
		servers = append(servers, jyhoststandin.NewServer(fmt.Sprintf("i-%d", i), "s1"))
		servers[i].SetFault(jyhoststandin.Crash)
	}
	h := startHosted(t, servers...)
	const deadly = "/safe/deadly"
	h.ask(http.MethodGet, deadly)
	// The fleet looks at the servers before it blames the request; a caller that sends again at once may end one more.
	time.Sleep(time.Second)
	h.eventually(func() bool { return h.ask(http.MethodGet, deadly).Body == "RequestBlocked\n" })
	ended := 0
	for _, s := range servers {
		ended += len(s.RunCounts())
		s.SetFault(jyhoststandin.None)
	}
	assert.LessOrEqual(t, ended, 3)
	a := h.ask(http.MethodGet, "/safe/other")
	require.NoError(t, a.Err)
	assert.Equal(t, "answer to "+a.ID, a.Body, "others are served")
}

func TestStatusAndMetricsShowWhyRequestsFail(t *testing.T) {
	server := jyhoststandin.NewServer("i-1", "s1")
	h := startHosted(t, server)
	server.SetFault(jyhoststandin.Errors)
	for range 3 {
		require.NoError(t, h.ask(http.MethodPost, "/unsafe/x").Err)
	}
	status, err := exec.Command(program, "status", "--instances", h.ready).CombinedOutput()
	require.NoError(t, err)
	assert.Contains(t, string(status), "s1 i-1-")
	assert.Contains(t, string(status), "is believed gray")
	h.eventually(func() bool {
		return strings.Contains(h.get("/metrics"), `route_requests{cause="ServerError",outcome="Complete",route="`)
	})
	h.eventually(func() bool { return strings.Contains(h.get("/metrics"), "jackdawyard_servers_doubted 1") })
	assert.Contains(t, h.get("/metrics"), "jackdawyard_source_age_seconds")
}

// get returns a page of the operator's address, empty where there is none.
func (h *hosted) get(path string) string {
	resp, err := http.Get("http://" + h.ready + path)
	if err != nil {
		return ""
	}
	defer func() { assert.NoError(h.t, resp.Body.Close()) }()
	body, err := io.ReadAll(resp.Body)
	assert.NoError(h.t, err)
	return string(body)
}
