package jysoak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jystandin"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

const (
	// requestTimeout is the remaining time that requests state; callerTimeout is how long callers wait for an answer.
	requestTimeout = 2 * time.Second
	callerTimeout  = 4 * time.Second
	// shutdownTimeout is the time that a terminating process gets before it is killed.
	shutdownTimeout = 6 * time.Second
	pollInterval    = 20 * time.Millisecond // of waitReady
)

// instance is a process of the product under test.
type instance struct {
	name            string
	program         string // path of the executable
	settingsFile    string
	logFile         *os.File
	caller          jyhoststandin.Caller // sends requests to this instance
	operatorAddress string
	host            netip.Addr

	mu      sync.Mutex
	process *exec.Cmd     // the current or last process
	exited  chan struct{} // closed when that process has exited
	boots   int           // number of starts
}

// addresses are the listen addresses of one instance.
type addresses struct{ caller, peer, operator string }

// freeAddresses returns addresses for the instance with that index, below 250. Each instance has a loopback IP address of its own, since
// all use the same signal port. The address is derived from this process's id, so that no other program answers at the port of an
// instance that is down.
func freeAddresses(index int) (addresses, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8)%200, pid&0xff, 1+index%250)
	var list [3]string
	for i := range list {
		address, err := jystandin.FreeAddress()
		if err != nil {
			return addresses{}, jyfault.New("find addresses", NotStarted, "%w", err)
		}
		list[i] = strings.Replace(address, "127.0.0.1", host, 1)
	}
	return addresses{caller: list[0], peer: list[1], operator: list[2]}, nil
}

// freeSignalPort returns a port for the signals between instances.
func freeSignalPort() (int, error) {
	const op = "find signal port"
	address, err := jystandin.FreeAddress()
	if err != nil {
		return 0, jyfault.New(op, NotStarted, "%w", err)
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, jyfault.New(op, NotStarted, "%w", err)
	}
	return int(parsed.Port()), nil
}

const settingsText = `[Instance]
Name = %s
DataCentre = dc-1
CallerAddress = %s
PeerAddress = %s
OperatorAddress = %s
BalancerNotice = 200ms
[Platform]
Source = Store
ConfigurationAddress = http://%s
[Peers]
Seeds = %s
PlaintextLoopback = true
SignalPort = %d
[BackendServers]
Placing = Loss
RetryBudgetSlack = 50
IdleProofOfLife = 5s
SourceAddress = %s
`

// instanceConfig holds the settings of an instance.
type instanceConfig struct {
	program string
	folder  string // for its settings and log files
	name    string
	addresses
	store string   // address of the link to the store
	seeds []string // peer addresses
	// signalPort is the same for all instances.
	signalPort int
	// revocations sets the revocation bound.
	revocations bool
}

// host returns the IP address of the instance.
func (a addresses) host() netip.Addr { return netip.MustParseAddrPort(a.peer).Addr() }

// settings returns the text of the settings file.
func (c instanceConfig) settings() string {
	text := fmt.Sprintf(settingsText, c.name, c.caller, c.peer, c.operator, c.store, strings.Join(c.seeds, ","), c.signalPort, c.host())
	if c.revocations {
		text += fmt.Sprintf("[Accounts]\nRevocationBound = %v\n", revocationBound)
	}
	return text
}

// newInstance writes the settings file and opens the log file of an instance. Its errors are of kind NotStarted.
func newInstance(c instanceConfig) (*instance, error) {
	const op = "make instance"
	in := &instance{
		name: c.name, program: c.program, settingsFile: filepath.Join(c.folder, c.name+".ini"), operatorAddress: c.operator, host: c.host(),
		caller: jyhoststandin.Caller{Address: c.caller, Remaining: requestTimeout, Timeout: callerTimeout},
	}
	if err := os.WriteFile(in.settingsFile, []byte(c.settings()), 0o600); err != nil {
		return nil, jyfault.New(op, NotStarted, "%w", err)
	}
	log, err := os.OpenFile(filepath.Join(c.folder, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, jyfault.New(op, NotStarted, "%w", err)
	}
	in.logFile = log
	return in, nil
}

// start starts the process. Its errors are of kind NotStarted.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	process := exec.Command(in.program, "serve", "--settings", in.settingsFile)
	process.Stdout, process.Stderr = in.logFile, in.logFile
	if err := process.Start(); err != nil {
		return jyfault.New("start instance", NotStarted, "%w", err)
	}
	exited := make(chan struct{})
	go func() {
		// The error is ignored. A killed process returns one too, and the log shows other causes.
		_ = process.Wait()
		close(exited)
	}()
	in.process, in.exited = process, exited
	in.boots++
	return nil
}

// boot returns how many times the process has been started.
func (in *instance) boot() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.boots
}

// signal sends a signal to the current process and returns a channel that is closed when that process has exited.
func (in *instance) signal(s syscall.Signal) chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	// The signal fails if the process has just exited.
	_ = in.process.Process.Signal(s)
	return in.exited
}

// stop stops the process with SIGTERM, and with SIGKILL after shutdownTimeout.
func (in *instance) stop() {
	exited := in.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownTimeout):
		<-in.signal(syscall.SIGKILL)
	}
}

func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.operatorAddress + "/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// waitReady waits until the instance is ready, and returns false if it is not within the timeout.
func (in *instance) waitReady(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if in.isReady() {
			return true
		}
	}
	return false
}
