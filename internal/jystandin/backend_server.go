package jystandin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// ServerConfig holds the settings of a BackendServer.
type ServerConfig struct {
	Name         string
	Address      string
	Slots        int
	QueueLimit   int           // requests that may wait for a slot; further ones are shed
	Latency      time.Duration // median of the log-normal latency
	LatencySigma float64       // standard deviation of the latency's natural logarithm
}

// BackendServer is an HTTP test double of one backend server. It counts what it runs and injects faults.
type BackendServer struct {
	config   ServerConfig
	slots    chan struct{} // one value for each request in progress
	waiting  atomic.Int64  // requests that wait for a slot
	requests atomic.Uint64 // received, including those shed
	shed     atomic.Uint64

	mu          sync.Mutex
	fault       Fault
	faultSetAt  time.Time
	downUntil   time.Time         // new connections are closed before this time
	effects     map[string]int    // see Counts.Effects
	connections map[net.Conn]bool // open connections; true for those that never answer again
}

// NewBackendServer returns a server without a fault.
func NewBackendServer(c ServerConfig) *BackendServer {
	return &BackendServer{
		config: c, slots: make(chan struct{}, c.Slots), effects: map[string]int{}, connections: map[net.Conn]bool{},
	}
}

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

// Run listens and serves until ctx is done. Its errors are of kind Unreachable.
func (b *BackendServer) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           b,
		ReadHeaderTimeout: time.Minute,
		ConnState:         b.trackConnection,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	listener, err := net.Listen("tcp", b.config.Address)
	if err != nil {
		return jyfault.New("run backend server", Unreachable, "%w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return jyfault.New("run backend server", Unreachable, "%w", err)
	}
	return nil
}

// trackConnection records open connections, and closes new ones while the server is down.
func (b *BackendServer) trackConnection(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateNew:
		if time.Now().Before(b.downUntil) {
			_ = c.Close()
			return
		}
		b.connections[c] = false
	case http.StateClosed, http.StateHijacked:
		delete(b.connections, c)
	}
}

// ServeHTTP handles a control request, or runs a request under the current fault.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case FaultPath:
		b.handleSetFault(w, r)
		return
	case CountsPath:
		writeJSON(w, b.Counts())
		return
	case HealthPath:
		w.WriteHeader(http.StatusOK)
		return
	}
	b.requests.Add(1)
	if b.isSilenced(r) {
		b.hang(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := b.activeFault()
	if fault.CrashOn != "" && bytes.Contains(body, []byte(fault.CrashOn)) {
		b.crash(time.Duration(fault.CrashMilliseconds) * time.Millisecond)
	}
	if !b.acquireSlot(r.Context()) {
		b.shedRequest(w)
		return
	}
	defer func() { <-b.slots }()
	b.runRequest(w, r, body, fault)
}

// acquireSlot takes a slot, waiting for one if the queue is not full. It returns false if the queue is full or ctx is done.
func (b *BackendServer) acquireSlot(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	if b.waiting.Add(1) > int64(b.config.QueueLimit) {
		b.waiting.Add(-1)
		return false
	}
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// shedRequest answers that the request was shed and did not run.
func (b *BackendServer) shedRequest(w http.ResponseWriter) {
	b.shed.Add(1)
	w.Header().Set(ShedHeader, FlagHeaderValue)
	w.Header().Set(NotRunHeader, FlagHeaderValue)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runRequest runs a request, which takes the latency and may fail by the shares of the fault.
func (b *BackendServer) runRequest(w http.ResponseWriter, r *http.Request, body []byte, f Fault) {
	// One draw for the three shares, since a request fails in one way only.
	draw := rand.Float64()
	if f.EffectBeforeFault || draw >= f.FailShare+f.LoseShare+f.HangShare {
		b.recordEffect(r)
	}
	b.simulateLatency(r.Context(), f)
	switch {
	case draw < f.FailShare:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case draw < f.FailShare+f.LoseShare:
		panic(http.ErrAbortHandler)
	case draw < f.FailShare+f.LoseShare+f.HangShare:
		b.hang(r)
	}
	if f.Draining {
		w.Header().Set(DrainHeader, FlagHeaderValue)
	}
	b.writeAnswer(w, r, body, rand.Float64() < f.CutShare)
}

// writeAnswer writes an Echo of the request, with the padding that the query asks for, at most 16 MiB. If truncate is true, the
// answer is cut off.
func (b *BackendServer) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, truncate bool) {
	sum := sha256.Sum256(body)
	echo := Echo{
		Token: r.Header.Get(TokenHeader), Server: b.config.Name,
		BodyBytes: len(body), BodySum: hex.EncodeToString(sum[:8]),
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("Padding")); err == nil && n > 0 && n <= 1<<24 {
		echo.Padding = strings.Repeat("x", n)
	}
	w.Header().Set(ServerHeader, b.config.Name)
	if truncate {
		writeTruncated(w, echo)
	}
	writeJSON(w, echo)
}

// writeTruncated sends the first half of a response and closes the connection.
func writeTruncated(w http.ResponseWriter, echo Echo) {
	raw, err := json.Marshal(echo)
	if err == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// recordEffect counts the effect of a request, unless its method is GET or HEAD.
func (b *BackendServer) recordEffect(r *http.Request) {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.effects[r.Header.Get(TokenHeader)]++
}

// simulateLatency waits for a log-normal latency, multiplied by the fault's SlowFactor, or until ctx is done.
func (b *BackendServer) simulateLatency(ctx context.Context, f Fault) {
	d := float64(b.config.Latency) * math.Exp(b.config.LatencySigma*rand.NormFloat64())
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	if d <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(d))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// hang blocks until the client cancels the request, then closes the connection.
func (b *BackendServer) hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// isSilenced reports whether the request arrived on a connection that never answers again.
func (b *BackendServer) isSilenced(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(net.Conn)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connections[c]
}

// crash closes all connections, and makes the server close new ones for the downtime. It ends the request with a panic.
func (b *BackendServer) crash(downtime time.Duration) {
	b.mu.Lock()
	b.downUntil = time.Now().Add(downtime)
	for c := range b.connections {
		_ = c.Close()
	}
	b.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// activeFault returns the fault that applies now. In the off half periods of a flapping fault only CrashOn applies.
func (b *BackendServer) activeFault() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault.isActive(time.Now(), b.faultSetAt) {
		return b.fault
	}
	return Fault{CrashOn: b.fault.CrashOn, CrashMilliseconds: b.fault.CrashMilliseconds}
}

// SetFault replaces the fault. SilenceShare silences open connections at this call; they stay silent after later calls.
func (b *BackendServer) SetFault(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.faultSetAt = f, time.Now()
	for c := range b.connections {
		if rand.Float64() < f.SilenceShare {
			b.connections[c] = true
		}
	}
}

func (b *BackendServer) handleSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// Counts returns a snapshot of the counters since the start.
func (b *BackendServer) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{
		Server: b.config.Name, Requests: b.requests.Load(), Shed: b.shed.Load(), Effects: maps.Clone(b.effects),
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw)
}
