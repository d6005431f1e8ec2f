package jystandin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Paths by which tests and operators of the stand-in change what it publishes.
const (
	PublishPath      = "/.standin/publish/"
	SetInstancesPath = "/.standin/instances"
	OutagePath       = "/.standin/outage"
	StalePath        = "/.standin/stale"
	ReadCountPath    = "/.standin/reads"
)

const maxWait = 5 * time.Minute

// Platform is a stand-in for the configuration service and the list of instances.
type Platform struct {
	address string
	reads   atomic.Uint64

	mu      sync.Mutex
	notes   map[jynote.Number][]byte
	head    jyplatform.Head
	stale   jynote.Number // when above 0, the newest number that stale reads see
	share   float64       // of the reads that are stale
	outage  bool
	list    jyplatform.InstanceList
	changed chan struct{} // closed at each change
}

// NewPlatform returns a platform that has published nothing.
func NewPlatform(address string) *Platform {
	return &Platform{address: address, notes: map[jynote.Number][]byte{}, changed: make(chan struct{})}
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return jyfault.New("run platform", Unreachable, "%w", err)
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return jyfault.New("run platform", Unreachable, "%w", err)
	}
	return nil
}

// Publish makes a note readable under its number.
func (p *Platform) Publish(n jynote.Number, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes[n] = raw
	if n >= p.head.Number {
		p.head.Number = n
	}
	if note, err := jynote.Parse(raw); err == nil && note.Base && n > p.head.Base {
		p.head.Base = n
	}
	p.wake()
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(l jyplatform.InstanceList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = l
}

// SetOutage makes the platform refuse all reads, or serve again.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = on
	p.wake()
}

// SetStaleReads hides all notes above n from readers; 0 hides none.
func (p *Platform) SetStaleReads(n jynote.Number) { p.SetStaleReadShare(n, 1) }

// SetStaleReadShare hides all notes above n from a share of the reads, as replicas that lag do.
func (p *Platform) SetStaleReadShare(n jynote.Number, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale, p.share = n, share
	p.wake()
}

// ReadCount returns the number of reads so far, each watch counted once.
func (p *Platform) ReadCount() uint64 { return p.reads.Load() }

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP answers reads of the published state, and commands below /.standin/.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/.standin/") {
		p.command(w, r)
		return
	}
	p.reads.Add(1)
	if r.Method != http.MethodGet {
		http.Error(w, "read only", http.StatusMethodNotAllowed)
		return
	}
	if p.isAway() {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == jyplatform.HeadPath:
		p.serveHead(w, r)
	case strings.HasPrefix(r.URL.Path, jyplatform.NotePath):
		p.serveNote(w, r)
	case r.URL.Path == jyplatform.InstancesPath:
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, p.list)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) isAway() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage
}

func (p *Platform) visibleHead() (jyplatform.Head, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.head
	if p.stale > 0 && h.Number > p.stale && rand.Float64() < p.share {
		h.Number = p.stale
	}
	if h.Base > h.Number {
		h.Base = 0
	}
	return h, p.changed
}

func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMilliseconds"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		h, changed := p.visibleHead()
		if uint64(h.Number) > after || p.isAway() {
			writeJSON(w, h)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, h)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveNote(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, jyplatform.NotePath), 10, 64)
	if err != nil {
		http.NotFound(w, r)
		return
	}
	h, _ := p.visibleHead()
	p.mu.Lock()
	raw := p.notes[jynote.Number(n)]
	p.mu.Unlock()
	if raw == nil || jynote.Number(n) > h.Number {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(raw)
}

// command changes the stand-in; these paths are its own and no part of the platform's interface.
func (p *Platform) command(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, jynote.MaxNoteBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, PublishPath):
		n, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, PublishPath), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Publish(jynote.Number(n), raw)
	case r.URL.Path == SetInstancesPath:
		var l jyplatform.InstanceList
		if err := json.Unmarshal(raw, &l); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetInstances(l)
	case r.URL.Path == OutagePath:
		p.SetOutage(string(raw) == "on")
	case r.URL.Path == StalePath:
		n, _ := strconv.ParseUint(string(raw), 10, 64)
		p.SetStaleReads(jynote.Number(n))
	case r.URL.Path == ReadCountPath:
		writeJSON(w, p.ReadCount())
		return
	default:
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// LoadInstances reads the list of instances from a JSON file.
func (p *Platform) LoadInstances(file string) error {
	const op = "load instances"
	raw, err := os.ReadFile(file)
	if err != nil {
		return jyfault.New(op, Malformed, "%w", err)
	}
	var l jyplatform.InstanceList
	if err := json.Unmarshal(raw, &l); err != nil {
		return jyfault.New(op, Malformed, "%s: %w", file, err)
	}
	p.SetInstances(l)
	return nil
}
