//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

const (
	// program is the command of the deploy file.
	program      = "target/jackdawyard"
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	grace        = 6 * time.Second
	host         = "a.example"
	zone         = "zone-a" // of the servers, and of the instances unless a case says otherwise
)

var errNotReady = errors.New("an instance did not become ready")

// lab holds the stand-ins and the instances of a case.
type lab struct {
	store     *jyhoststandin.Store
	storeHTTP *httptest.Server
	folder    string // temporary: settings and logs
	servers   []*server
	instances []*instance

	mu      sync.Mutex
	record  *os.File
	started time.Time
}

func newLab(record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lab2")
	if err != nil {
		return nil, err
	}
	store := jyhoststandin.NewStore()
	return &lab{store: store, storeHTTP: httptest.NewServer(store), folder: folder, record: f, started: time.Now()}, nil
}

// note writes a line to the record and to standard output.
func (l *lab) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
	fmt.Print(line)
	_, _ = l.record.WriteString(line)
}

// close ends all processes that were started.
func (l *lab) close() {
	for _, in := range l.instances {
		in.kill()
		in.store.close()
		in.peers.close()
	}
	for _, s := range l.servers {
		s.close()
	}
	l.storeHTTP.CloseClientConnections()
	l.storeHTTP.Close()
	_ = l.record.Close()
	_ = os.RemoveAll(l.folder)
}

// register writes a server's entry to the store.
func (l *lab) register(s *server) {
	s.sequence++
	raw, _ := json.Marshal(map[string]any{
		"Address":  s.address(),
		"NodeInfo": map[string]any{"Service": s.service, "Version": "v1", "Zone": zone, "Slots": 4},
		"Status":   map[string]any{"State": s.state(), "SeqNo": s.sequence, "ColdRemaining": "0ms"},
		"born":     s.born,
	})
	l.store.Put("servers/"+s.id, raw)
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service, timeout string
	maxAttempts                          int
}

// publish writes a version of the configuration to the store.
func (l *lab) publish(version int, routes ...route) {
	var b strings.Builder
	services := map[string]bool{}
	for _, r := range routes {
		fmt.Fprintf(&b, `{"ResourceKind":"Routes","Metadata":{"Name":%q},"Specification":{"Host":%q,"PathPrefix":%q,"Kind":%q,`+
			`"Timeout":%q,"LatencyGoal":"600ms","Priority":1,"Service":%q,"MaxAttempts":%d}},`,
			r.name, host, r.prefix, r.kind, r.timeout, r.service, r.maxAttempts)
		services[r.service] = true
	}
	for name := range services {
		fmt.Fprintf(&b, `{"ResourceKind":"Services","Metadata":{"Name":%q},"Specification":{"HealthPath":"/health","MaxConnections":330,`+
			`"Protocol":"h1","Tls":false}},`, name)
	}
	l.store.Put("op/config", fmt.Appendf(nil, `{"Version":%d,"Resources":[%s{"ResourceKind":"Limits","Metadata":{},"Specification":`+
		`{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}]}`, version, b.String()))
}

// instance is a process of the product.
type instance struct {
	name, caller, operator, settings string
	store, peers                     *link // from the instance to the store, and from other instances to this one
	log                              *os.File
	process                          *exec.Cmd
	exited                           chan struct{}
}

// address returns the IP address of the instance's machine.
func (in *instance) address() netip.Addr { return netip.MustParseAddrPort(in.caller).Addr() }

// settingsText is deploy/entry.ini, filled in, with a source address, since all machines share the loopback interface,
// and with the address of the link from other instances.
const settingsText = `[Instance]
Name = %s
DataCentre = %s
Region = region-a
CallerAddress = %s
PeerAddress = %s
AdvertisedAddress = %s
OperatorAddress = %s
MetricsAddress = %s
BalancerNotice = 2800ms
HeapGrowthPercent = 100

[Platform]
Source = Store
ConfigurationAddress = http://%s
WatchWait = 900ms

[Peers]
Seeds = %s
PrivateNetwork = true
SignalPort = %d

[Callers]
CallerRate = 100000
CallerBurst = 100000
CallerConcurrency = 10000

[Accounts]
RevocationBound =

[BackendServers]
TransferPrice = 30000
Placing = Loss
LeastUsedShare = 0.7
RetryBudgetShare = 0.2
RetryBudgetSlack = 58
IdleProofOfLife = 250ms
MaxIdle = 8s
SourceAddress = %s
`

// freePort returns a port that is free now.
func freePort() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// startInstances starts count instances in one zone; see startInstancesIn.
func (l *lab) startInstances(count int) error {
	return l.startInstancesIn(slices.Repeat([]string{zone}, count)...)
}

// startInstancesIn starts an instance in each of the zones, each with a loopback address of its own and its own link to the store, and waits
// until they are ready.
func (l *lab) startInstancesIn(zones ...string) error {
	count := len(zones)
	pid := os.Getpid()
	caller, peer, operator, metrics, signals := freePort(), freePort(), freePort(), freePort(), freePort()
	at := func(i, port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", 16+(pid>>8)%200, pid&0xff, 1+i, port) }
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, at(i, peer))
	}
	for i, zone := range zones {
		store, err := newLink("127.0.0.1", l.storeHTTP.Listener.Addr().String())
		if err != nil {
			return err
		}
		in := &instance{name: fmt.Sprintf("front-%d", i+1), caller: at(i, caller), operator: at(i, operator), store: store}
		if in.peers, err = newLink(in.address().String(), at(i, peer)); err != nil {
			return err
		}
		in.settings = filepath.Join(l.folder, in.name+".ini")
		text := fmt.Sprintf(settingsText, in.name, zone, in.caller, at(i, peer), in.peers.address(), in.operator, at(i, metrics), in.store.address(),
			strings.Join(seeds, ","), signals, in.address())
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(l.folder, in.name+".log"))
		if err != nil {
			return err
		}
		in.log = log
		l.instances = append(l.instances, in)
		if err := in.start(); err != nil {
			return err
		}
	}
	for _, in := range l.instances {
		if !in.waitReady(readyTimeout) {
			return errNotReady
		}
	}
	return nil
}

func (in *instance) start() error {
	process := exec.Command(program, "serve")
	process.Env = []string{"JACKDAWYARD_CONFIG=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = in.log, in.log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	in.process, in.exited = process, exited
	return nil
}

func (in *instance) signal(s syscall.Signal) { _ = in.process.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (in *instance) hasEnded() bool {
	select {
	case <-in.exited:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (in *instance) kill() {
	if in.process == nil {
		return
	}
	in.signal(syscall.SIGKILL)
	<-in.exited
}

// stop ends the process as the platform does.
func (in *instance) stop() {
	in.signal(syscall.SIGTERM)
	select {
	case <-in.exited:
	case <-time.After(grace):
		in.kill()
	}
}

// waitReady waits until the instance is ready, and returns false if it ends or is not ready within the timeout.
func (in *instance) waitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until) && !in.hasEnded(); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + in.operator + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
