package jysoak

import (
	"fmt"
	"net/http"
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
	// remaining is the time that callers give a request, and patience how long they wait.
	remaining = 2 * time.Second
	patience  = 4 * time.Second
	// graceTime is how long after SIGTERM a process is killed.
	graceTime = 6 * time.Second
	pollTime  = 20 * time.Millisecond
)

// instance is a process of the product.
type instance struct {
	name     string
	program  string
	settings string
	log      *os.File
	caller   jyhoststandin.Caller
	operator string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	lives   int
}

// addresses are those of one instance: for callers, peers and the operator.
type addresses struct{ caller, peer, operator string }

// freeAddresses returns addresses on a loopback number of this process: while an instance is down, no other program on the
// machine may answer at its port.
func freeAddresses() (addresses, error) {
	host := fmt.Sprintf("127.1.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
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
[BackendServers]
Placing = Loss
RetryBudgetSlack = 50
IdleProofOfLife = 5s
`

// instanceConfig sets up an instance.
type instanceConfig struct {
	program string
	folder  string // for its settings and log
	name    string
	addresses
	store string
	seeds []string
}

func (c instanceConfig) settings() string {
	return fmt.Sprintf(settingsText, c.name, c.caller, c.peer, c.operator, c.store, strings.Join(c.seeds, ","))
}

// newInstance writes the settings of an instance; its errors are of kind NotStarted.
func newInstance(c instanceConfig) (*instance, error) {
	const op = "make instance"
	in := &instance{
		name: c.name, program: c.program, settings: filepath.Join(c.folder, c.name+".ini"), operator: c.operator,
		caller: jyhoststandin.Caller{Address: c.caller, Remaining: remaining, Timeout: patience},
	}
	if err := os.WriteFile(in.settings, []byte(c.settings()), 0o600); err != nil {
		return nil, jyfault.New(op, NotStarted, "%w", err)
	}
	log, err := os.OpenFile(filepath.Join(c.folder, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, jyfault.New(op, NotStarted, "%w", err)
	}
	in.log = log
	return in, nil
}

// start runs the process; its errors are of kind NotStarted.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	process := exec.Command(in.program, "serve", "--settings", in.settings)
	process.Stdout, process.Stderr = in.log, in.log
	if err := process.Start(); err != nil {
		return jyfault.New("start instance", NotStarted, "%w", err)
	}
	ended := make(chan struct{})
	go func() {
		// How it ended is in its log; a killed one ends with an error too.
		_ = process.Wait()
		close(ended)
	}()
	in.process, in.ended = process, ended
	in.lives++
	return nil
}

func (in *instance) life() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.lives
}

// signal sends a signal to the process that this soak started, and returns what is closed when that has ended.
func (in *instance) signal(s syscall.Signal) chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	// A process that has just ended takes no signal.
	_ = in.process.Process.Signal(s)
	return in.ended
}

// end stops the process, with a kill after the grace time.
func (in *instance) end() {
	ended := in.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		<-in.signal(syscall.SIGKILL)
	}
}

func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.operator + "/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

func (in *instance) waitReady(most time.Duration) bool {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(pollTime) {
		if in.isReady() {
			return true
		}
	}
	return false
}
