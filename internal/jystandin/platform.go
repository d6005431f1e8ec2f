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

// Control paths of the Platform, which the real platform doesn't have. ReadCountPath returns the number of reads; the others change
// what the Platform publishes.
const (
	PublishPath      = "/.standin/publish/"
	SetInstancesPath = "/.standin/instances"
	OutagePath       = "/.standin/outage"
	StalePath        = "/.standin/stale"
	ReadCountPath    = "/.standin/reads"
)

// maxWait is the longest time that a watch waits for a change.
const maxWait = 5 * time.Minute

// Platform is an HTTP test double of the configuration service and of the list of instances.
type Platform struct {
	address string
	reads   atomic.Uint64 // see ReadCount

	mu         sync.Mutex
	notes      map[jynote.Number][]byte
	head       jyplatform.Head
	staleLimit jynote.Number // newest note number that a stale read sees; 0 turns stale reads off
	staleShare float64       // probability that a read is stale
	outage     bool
	instances  jyplatform.InstanceList
	changed    chan struct{} // closed and replaced at each change
}

// NewPlatform returns a platform without notes and instances. Run makes it listen on address.
func NewPlatform(address string) *Platform {
	return &Platform{address: address, notes: map[jynote.Number][]byte{}, changed: make(chan struct{})}
}

// Run listens and serves until ctx is done. Its errors are of kind Unreachable.
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

// Publish stores a note, valid or not, under its number and wakes the watchers. A note of the same number is replaced.
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
	p.notifyWatchers()
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(l jyplatform.InstanceList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = l
}

// SetOutage makes the platform answer reads with status 503 if on is true, and normally if not.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = on
	p.notifyWatchers()
}

// SetStaleReads hides all notes above n from all reads; 0 hides none.
func (p *Platform) SetStaleReads(n jynote.Number) { p.SetStaleReadShare(n, 1) }

// SetStaleReadShare hides all notes above n from a share of the reads, as lagging replicas do; 0 hides none.
func (p *Platform) SetStaleReadShare(n jynote.Number, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleLimit, p.staleShare = n, share
	p.notifyWatchers()
}

// ReadCount returns the number of reads since the start. A watch counts once.
func (p *Platform) ReadCount() uint64 { return p.reads.Load() }

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP answers reads of the published state, and control requests below /.standin/.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/.standin/") {
		p.handleControl(w, r)
		return
	}
	p.reads.Add(1)
	if r.Method != http.MethodGet {
		http.Error(w, "read only", http.StatusMethodNotAllowed)
		return
	}
	if p.hasOutage() {
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
		writeJSON(w, p.instances)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) hasOutage() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage
}

// visibleHead returns the head that one read sees, stale or not, and a channel that is closed at the next change.
func (p *Platform) visibleHead() (jyplatform.Head, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.head
	if p.staleLimit > 0 && h.Number > p.staleLimit && rand.Float64() < p.staleShare {
		h.Number = p.staleLimit
	}
	if h.Base > h.Number {
		h.Base = 0
	}
	return h, p.changed
}

// serveHead answers with the head once its number is above the query parameter After, WaitMilliseconds have passed or an outage
// begins.
func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMilliseconds"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		h, changed := p.visibleHead()
		if uint64(h.Number) > after || p.hasOutage() {
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

// serveNote answers with a note, or with status 404 if there is none or a stale read does not see it.
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

// handleControl answers a request to a control path.
func (p *Platform) handleControl(w http.ResponseWriter, r *http.Request) {
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

// LoadInstances replaces the list of instances with that of a JSON file. Its errors are of kind Malformed.
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
