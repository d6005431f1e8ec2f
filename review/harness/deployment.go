//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds holds the limits of a deployment that the settings of an instance state. They are those of the example in DEPLOY.md.
var bounds = map[string]string{
	"Bounds.FloorShare": "0.7", "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "58",
}

const (
	drainBound = 2 * time.Second // Drain
	contact    = 3 * time.Second // Contact
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	out     *os.File
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		fail("create record: %v", err)
	}
	return &recorder{started: time.Now(), out: f}
}

func (r *recorder) since() time.Duration { return time.Since(r.started) }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

var (
	cleanUpMu sync.Mutex
	started   []*exec.Cmd
	folders   []string
)

// cleanUp ends all processes that were started, and removes the temporary folders.
func cleanUp() {
	cleanUpMu.Lock()
	defer cleanUpMu.Unlock()
	for _, c := range started {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	for _, f := range folders {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(f)
		}
	}
	started, folders = nil, nil
}

// instance is one process of the system.
type instance struct {
	name, zone, ip                      string
	front, ready, control, metrics, cfg string
	storeAddress                        string // of the store as this instance reaches it
	logPath                             string
	cmd                                 *exec.Cmd
}

// fleet is a small deployment: instances of the system, as the deploy file starts them.
type fleet struct {
	root      string
	dir       string
	instances []*instance
	signal    string // UDP port, the same at all instances
	revoke    string // the bound on taking keys away; empty for none
}

// freePort returns a port that is free for TCP and UDP at the address.
func freePort(ip string) string {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no free port: %v", err)
		}
		_, port, _ := net.SplitHostPort(l.Addr().String())
		u, err := net.ListenPacket("udp", ip+":"+port)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
	fail("no free port")
	return ""
}

// newFleet prepares instances in the zones; each has a loopback address of its own.
func newFleet(root string, zones []string, storeAddress string) *fleet {
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	cleanUpMu.Lock()
	folders = append(folders, dir)
	cleanUpMu.Unlock()
	f := &fleet{root: root, dir: dir}
	ports := map[string]bool{}
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, 11+i)
		port := func() string {
			for {
				if p := freePort(ip); !ports[p] {
					ports[p] = true
					return p
				}
			}
		}
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip,
			front: ip + ":" + port(), ready: ip + ":" + port(), control: ip + ":" + port(), metrics: port(),
			storeAddress: storeAddress, cfg: filepath.Join(dir, fmt.Sprintf("entry-%d.ini", i+1)),
			logPath: filepath.Join(dir, fmt.Sprintf("entry-%d.log", i+1)),
		})
	}
	f.signal = freePort(f.instances[0].ip)
	return f
}

// seeds returns the control addresses of at most three instances.
func (f *fleet) seeds() string {
	var out []string
	for _, i := range f.instances[:min(3, len(f.instances))] {
		out = append(out, i.control)
	}
	return strings.Join(out, ",")
}

// writeSettings fills in the template of the deploy file.
func (f *fleet) writeSettings(i *instance) {
	raw, err := os.ReadFile(filepath.Join(f.root, "deploy", "entry.ini"))
	if err != nil {
		fail("read template: %v", err)
	}
	text := string(raw)
	section := "{{#Bounds.StrictRevoke}}{{Bounds.Revoke}}{{/Bounds.StrictRevoke}}"
	text = strings.ReplaceAll(text, section, f.revoke)
	values := map[string]string{
		"Node": i.name, "Zone": i.zone, "Region": "region-1", "Ip": i.ip, "Listen.Front": i.front, "Listen.Control": i.control,
		"Listen.ReadyAddress": i.ready, "InternalPorts.0": f.signal, "InternalPorts.1": i.metrics,
		"Platform.Address": i.storeAddress, "SeedNodes": f.seeds(),
	}
	for name, value := range bounds {
		values[name] = value
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		fail("the template has a placeholder that this script does not know:\n%s", text)
	}
	if err := os.WriteFile(i.cfg, []byte(text), 0o600); err != nil {
		fail("write settings: %v", err)
	}
}

// start starts the process of an instance with the command of the deploy file.
func (f *fleet) start(i *instance) {
	f.writeSettings(i)
	out, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	i.cmd = exec.Command("target/jackdawyard", "serve")
	i.cmd.Dir = f.root
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWYARD_CONFIG=" + i.cfg}
	i.cmd.Stdout, i.cmd.Stderr = out, out
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		fail("start instance: %v", err)
	}
	_ = out.Close()
	cleanUpMu.Lock()
	started = append(started, i.cmd)
	cleanUpMu.Unlock()
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() {
	for _, i := range f.instances {
		f.start(i)
	}
	for _, i := range f.instances {
		f.awaitReady(i)
	}
}

func (f *fleet) awaitReady(i *instance) {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + i.ready + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	raw, _ := os.ReadFile(i.logPath)
	fail("%s is not ready; its log:\n%s", i.name, raw)
}

// status returns a part of an instance's status page, for tests of these scripts.
func (f *fleet) status(i *instance) string {
	resp, err := http.Get("http://" + i.ready + "/status")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	return b.String()
}

func toJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		fail("encode: %v", err)
	}
	return raw
}
