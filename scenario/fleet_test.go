package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jynode"
	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/internal/jyproxy"
	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "scenario")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "jackdawyard")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	serviceName  = "ledger"
	serverSlots  = 4
)

// fleet is a number of instances, each run as a separate process. The platform and the backend servers are test doubles in the
// test's process.
type fleet struct {
	t               testing.TB
	platform        *jystandin.Platform
	platformURL     string
	servers         []*jystandin.BackendServer
	serverAddresses []string
	entries         []*entry
	folder          string
}

// entry is one instance of the fleet.
type entry struct {
	name            string
	settingsFile    string
	callerAddress   string
	operatorAddress string
	peerProxy       *blockableProxy // between the other instances and this one
	process         *exec.Cmd
	exited          chan struct{}
}

// newFleet starts a platform, servers and instances with the given counts, and waits until all instances are ready with note 1.
func newFleet(t testing.TB, entries, servers int) *fleet {
	f := &fleet{t: t, folder: t.TempDir()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address := f.freeAddress()
	f.platformURL = "http://" + address
	f.platform = jystandin.NewPlatform(address)
	go func() { _ = f.platform.Run(ctx) }()
	for i := range servers {
		f.serverAddresses = append(f.serverAddresses, f.freeAddress())
		s := jystandin.NewBackendServer(jystandin.ServerConfig{
			Name: serverName(i), Address: f.serverAddresses[i],
			Slots: serverSlots, QueueLimit: 2 * serverSlots,
			Latency: 5 * time.Millisecond, LatencySigma: 0.2,
		})
		f.servers = append(f.servers, s)
		go func() { _ = s.Run(ctx) }()
	}
	var list jyplatform.InstanceList
	for i := range entries {
		list.Instances = append(list.Instances, f.addEntry(i))
	}
	f.platform.SetInstances(list)
	f.platform.Publish(1, f.note(1, nil))
	for _, e := range f.entries {
		f.start(e)
	}
	f.waitFor("all instances are ready", func() bool { return f.allReadyWithNote(1) })
	return f
}

func serverName(i int) string { return fmt.Sprintf("ledger-%d", i+1) }

func (f *fleet) freeAddress() string {
	a, err := jystandin.FreeAddress()
	require.NoError(f.t, err)
	return a
}

// addEntry adds an instance with its settings file and its peerProxy, and returns it for the platform's list of instances. Its peer
// address there is that of the proxy.
func (f *fleet) addEntry(i int) jyplatform.Instance {
	peer, advertised := f.freeAddress(), f.freeAddress()
	e := &entry{
		peerProxy:     newBlockableProxy(f.t, advertised, peer),
		name:          fmt.Sprintf("entry-%d", i+1),
		callerAddress: f.freeAddress(), operatorAddress: f.freeAddress(),
	}
	e.settingsFile = filepath.Join(f.folder, e.name+".ini")
	centre := fmt.Sprintf("dc-%d", i%3+1)
	text := fmt.Sprintf("[Instance]\nName = %s\nDataCentre = %s\nCallerAddress = %s\nPeerAddress = %s\nAdvertisedAddress = %s\nOperatorAddress = %s\nBalancerNotice = 300ms\n"+
		"[Platform]\nConfigurationAddress = %s\nPollInterval = 1s\n[Peers]\nSharedKey = scenario-key-of-16\nHeartbeatInterval = 100ms\nReportInterval = 200ms\n"+
		"[Callers]\nCallerRate = 100000\nCallerBurst = 100000\nCallerConcurrency = 10000\n",
		e.name, centre, e.callerAddress, peer, advertised, e.operatorAddress, f.platformURL)
	require.NoError(f.t, os.WriteFile(e.settingsFile, []byte(text), 0o600))
	f.entries = append(f.entries, e)
	return jyplatform.Instance{Name: e.name, PeerAddress: advertised, DataCentre: centre, State: jyplatform.Live}
}

// start starts the process of an instance. It is killed when the test ends.
func (f *fleet) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(f.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	e.process = exec.Command(program, "serve", "--settings", e.settingsFile)
	e.process.Stdout, e.process.Stderr = log, log
	require.NoError(f.t, e.process.Start())
	e.exited = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
	}(e.process, e.exited)
	f.t.Cleanup(func() { f.signalAndWait(e, syscall.SIGKILL) })
}

// signalAndWait sends the signal and waits until the process has exited.
func (f *fleet) signalAndWait(e *entry, s syscall.Signal) {
	_ = e.process.Process.Signal(s)
	<-e.exited
}

func (f *fleet) signal(e *entry, s syscall.Signal) {
	require.NoError(f.t, e.process.Process.Signal(s))
}

// note returns a base note with the fleet's service and its servers, with change applied.
func (f *fleet) note(n jynote.Number, change func(*jynote.Note)) []byte {
	v := jynote.Note{Number: n, Base: true}
	v.Added.Services = []jynote.Service{{
		Name: serviceName, Floor: serverSlots, DeadlineMilliseconds: 4000, ServerDaysPerFalseEjection: 1000, MaxBodyBytes: 1 << 20,
		Objective:   jynote.Objective{SuccessShare: 0.999, LatencyMilliseconds: 500},
		NotRunMarks: []jynote.Mark{{Header: jystandin.NotRunHeader, Value: jystandin.FlagHeaderValue}},
		ShedMark:    jynote.Mark{Header: jystandin.ShedHeader, Value: jystandin.FlagHeaderValue},
		DrainMark:   jynote.Mark{Header: jystandin.DrainHeader, Value: jystandin.FlagHeaderValue},
	}}
	v.Added.Routes = []jynote.Route{{Name: "all", PathPrefix: "/", Service: serviceName}}
	for i, a := range f.serverAddresses {
		v.Added.BackendServers = append(v.Added.BackendServers, jynote.BackendServer{
			Name: jynote.ServerName(serverName(i)), Service: serviceName, Address: a, DataCentre: "dc-1", Slots: serverSlots, Connections: 300,
		})
	}
	if change != nil {
		change(&v)
	}
	raw, err := json.Marshal(v)
	require.NoError(f.t, err)
	return raw
}

// waitFor fails the test, and prints the logs, if done does not return true within waitTimeout. what completes "timed out waiting
// until".
func (f *fleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if done() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s\n%s", what, f.logs())
}

func (f *fleet) logs() string {
	var b strings.Builder
	for _, e := range f.entries {
		raw, _ := os.ReadFile(filepath.Join(f.folder, e.name+".log"))
		fmt.Fprintf(&b, "%s:\n%s\n", e.name, raw)
	}
	return b.String()
}

// status returns the status that an instance reports, and false if it can't be read.
func (f *fleet) status(e *entry) (jynode.Status, bool) {
	var s jynode.Status
	resp, err := client.Get("http://" + e.operatorAddress + jynode.PathStatus)
	if err != nil {
		return s, false
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// allReadyWithNote reports whether all instances are ready, have applied this note or a later one, and list at
// least as many members as there are other instances.
func (f *fleet) allReadyWithNote(n jynote.Number) bool {
	for _, e := range f.entries {
		if s, ok := f.status(e); !ok || !s.Ready || s.Release.Number < n || len(s.Members) < len(f.entries)-1 {
			return false
		}
	}
	return true
}

// reply is what a caller received; incomplete if it got no complete answer.
type reply struct {
	incomplete bool
	status     int
	outcome    jyoutcome.Outcome
	reason     jyoutcome.Reason
	header     http.Header
	body       []byte
}

// client has a timeout, so that a test fails instead of waiting forever for an instance that hangs.
var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// send sends a request to an instance. The servers count its effects by token. id is its request id, or empty for none.
func (f *fleet) send(e *entry, method, path, token, id, body string) reply {
	req, err := http.NewRequest(method, "http://"+e.callerAddress+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Authorization", "one caller")
	req.Header.Set(jystandin.TokenHeader, token)
	if id != "" {
		req.Header.Set(jyproxy.HeaderIdempotencyKey, id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{incomplete: true}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{incomplete: true}
	}
	out := reply{status: resp.StatusCode, outcome: jyoutcome.Outcome(resp.Header.Get(jyoutcome.Header)), header: resp.Header, body: raw}
	var problem struct {
		Reason jyoutcome.Reason `json:"reason"`
	}
	if out.outcome != jyoutcome.Complete && json.Unmarshal(raw, &problem) == nil {
		out.reason = problem.Reason
	}
	return out
}

// issueRequestID returns a new request id, issued by this instance.
func (f *fleet) issueRequestID(e *entry) string {
	r := f.send(e, http.MethodPost, jyproxy.RequestIDPath, "", "", "")
	var out struct{ RequestIds []string }
	require.NoError(f.t, json.Unmarshal(r.body, &out))
	require.Len(f.t, out.RequestIds, 1)
	return out.RequestIds[0]
}

// effectCount returns how often the request with this token took effect at any server.
func (f *fleet) effectCount(token string) int {
	n := 0
	for _, s := range f.servers {
		n += s.Counts().Effects[token]
	}
	return n
}

// requestCount returns the number of requests that all servers received.
func (f *fleet) requestCount() uint64 {
	var n uint64
	for _, s := range f.servers {
		n += s.Counts().Requests
	}
	return n
}

// ejectedServers returns the names of the servers that an instance reports as ejected by the fleet.
func (f *fleet) ejectedServers(e *entry) []string {
	s, _ := f.status(e)
	var out []string
	for _, v := range s.Services {
		for _, b := range v.Servers {
			if b.By == "Fleet" && b.Phase == "Ejected" {
				out = append(out, string(b.Server))
			}
		}
	}
	return out
}
