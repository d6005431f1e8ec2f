package jyrelease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jyplatform"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// Platform reads the configuration service. jyplatform.Client implements it.
type Platform interface {
	Head(ctx context.Context, after jynote.Number, wait time.Duration) (jyplatform.Head, error)
	Note(ctx context.Context, n jynote.Number) ([]byte, error)
	Instances(ctx context.Context) (jyplatform.InstanceList, error)
}

// Fleet is the part of the membership that a Distributor uses. jyfleet.Fleet implements it.
type Fleet interface {
	Self() jymember.Member
	SyncList(list []jymember.ListedInstance)
	RandomPeers(count int) []jymember.Member
	RankedForKey(key string, count int, only func(jymember.Member) bool) []jymember.Member
}

// Config sets up a Distributor.
type Config struct {
	Platform Platform
	Clients  *jypeer.Clients
	// WatchWait is how long one call to the configuration service waits for a new note.
	WatchWait time.Duration
	// PollInterval bounds the delay between retries. It is also the list interval while no other instance is working.
	PollInterval time.Duration
	// ListInterval is how often the watchers read the platform's instance list.
	ListInterval time.Duration
	// PeerTimeout bounds a call to a peer.
	PeerTimeout time.Duration
	// WatchersPerCentre is the number of instances of a data centre that watch the configuration service.
	WatchersPerCentre int
	// FleetService is the name of the membership in the kernel.
	FleetService jykernel.Name
	// Seeds are addresses of peers to ask at startup in addition to the platform's list.
	Seeds []string
	// OnState is called with each new state, in order. It may call CurrentNote; Offer and Status would deadlock.
	OnState func(jynote.State)
}

const (
	// announceFanout is the number of peers to which an instance announces a new note; those announce it to others.
	announceFanout       = 10
	minRetryDelay        = 50 * time.Millisecond
	watcherCheckInterval = time.Second
)

// Distributor holds the current state of this instance. It applies release notes from the configuration service and from
// peers, and announces them to peers. After Link, its methods may be called concurrently.
type Distributor struct {
	config Config
	fleet  Fleet
	// current is read without mu, since the membership reads it for heartbeats while OnState may wait for the membership.
	current            atomic.Pointer[jypeer.NoteRef]
	mu                 sync.Mutex
	sequence           *jynote.Sequence
	conflictingPeers   map[string]jypeer.NoteRef // by address: the peer's note, which had the local number but another digest
	fetching           atomic.Bool
	caughtUp           atomic.Bool
	serviceUnavailable atomic.Bool

	readyLogged atomic.Bool
}

// New returns a distributor that has applied no note; Link must follow before Run.
func New(c Config) *Distributor {
	d := &Distributor{config: c, sequence: jynote.NewSequence(), conflictingPeers: map[string]jypeer.NoteRef{}}
	d.current.Store(&jypeer.NoteRef{})
	return d
}

// Link looks up the membership in the kernel.
func (d *Distributor) Link(k *jykernel.Kernel) error {
	f, err := jykernel.Find[Fleet](k, d.config.FleetService)
	d.fleet = f
	return err
}

// logReady logs once that the instance is ready.
func (d *Distributor) logReady() {
	if d.IsReady() && !d.readyLogged.Swap(true) {
		jylog.InstanceReady.Log(d.CurrentNote().Number)
	}
}

// CurrentNote returns the number and digest of the last applied note; its number is 0 if there is none.
func (d *Distributor) CurrentNote() jypeer.NoteRef { return *d.current.Load() }

// IsReady reports whether the instance has caught up with its peers and has applied a note.
func (d *Distributor) IsReady() bool { return d.caughtUp.Load() && d.CurrentNote().Number > 0 }

// Status describes the applied and refused release notes for operators.
type Status struct {
	Number jynote.Number // of the last applied note; 0 if there is none
	Digest string
	// Refused lists the latest notes that were refused for their content. Conflicts lists the latest notes that had other content
	// than an earlier note of the same number.
	Refused   []jynote.Refusal
	Conflicts []jynote.Refusal
	// PeerConflicts lists the addresses of peers that have other content under the same number.
	PeerConflicts []string
	// ServiceAway is set from a failed call to the configuration service until its next answer to a watch.
	ServiceAway bool
	// AgeSeconds is the time since the store was last known to hold nothing newer. It is 0 if the configuration comes from
	// release notes.
	AgeSeconds float64 `json:",omitempty"`
	// StoreEra and StoreRevision say up to where the store was read; 0 if the configuration comes from release notes.
	StoreEra      uint64 `json:",omitempty"`
	StoreRevision uint64 `json:",omitempty"`
}

// Status returns the status for operators.
func (d *Distributor) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.sequence.State()
	out := Status{
		Number: s.Number, Digest: s.Digest.String(), Refused: s.Refused, Conflicts: d.sequence.Conflicts(),
		ServiceAway: d.serviceUnavailable.Load(),
	}
	for address, remote := range d.conflictingPeers {
		if remote.Number == s.Number {
			out.PeerConflicts = append(out.PeerConflicts, address)
		}
	}
	return out
}

// Run catches up with peers, then watches the configuration service while this instance is a watcher of its data centre. It ends
// with ctx and always returns nil.
func (d *Distributor) Run(ctx context.Context) error {
	d.catchUp(ctx)
	delay := minRetryDelay
	for ctx.Err() == nil {
		if !d.isWatcher() {
			jykernel.Wait(ctx, watcherCheckInterval)
			continue
		}
		if d.watch(ctx) {
			delay = minRetryDelay
			continue
		}
		jykernel.Wait(ctx, delay+rand.N(delay))
		delay = min(2*delay, d.config.PollInterval)
	}
	return nil
}

// isWatcher reports whether this instance is one of those of its data centre that watch the configuration service.
func (d *Distributor) isWatcher() bool {
	self := d.fleet.Self()
	sameCentre := func(m jymember.Member) bool { return m.DataCentre == self.DataCentre }
	for _, m := range d.fleet.RankedForKey("watch/"+self.DataCentre, d.config.WatchersPerCentre, sameCentre) {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}

// watch waits for new notes and applies them. It returns false if the service did not answer or a note could not be read.
func (d *Distributor) watch(ctx context.Context) bool {
	number := d.CurrentNote().Number
	head, err := d.config.Platform.Head(ctx, number, d.config.WatchWait)
	if err != nil {
		d.recordUnavailable(ctx, err)
		return false
	}
	if d.serviceUnavailable.Swap(false) {
		jylog.PlatformReachable.Log()
	}
	if head.Number <= number {
		return true
	}
	return d.read(ctx, number, head)
}

// recordUnavailable marks the configuration service as unavailable after a failed call, and logs the first failure.
func (d *Distributor) recordUnavailable(ctx context.Context, err error) {
	if ctx.Err() == nil && !d.serviceUnavailable.Swap(true) {
		jylog.PlatformUnreachable.Log(err)
	}
}

// read fetches and offers the notes after number, or from the base note on if that is later, up to the head. It returns false
// if a note could not be read.
func (d *Distributor) read(ctx context.Context, number jynote.Number, head jyplatform.Head) bool {
	first := number + 1
	if head.Base > first {
		first = head.Base
	}
	for n := first; n <= head.Number; n++ {
		raw, err := d.config.Platform.Note(ctx, n)
		if err != nil {
			return d.handleNoteError(ctx, n, err)
		}
		d.Offer(n, raw)
	}
	return true
}

// handleNoteError logs why a note could not be read and returns false, so that the caller tries again after a delay.
func (d *Distributor) handleNoteError(ctx context.Context, n jynote.Number, err error) bool {
	var e *jyplatform.Error
	if errors.As(err, &e) && e.Kind == jyplatform.Missing {
		jylog.NoteWaiting.Log(n+1, d.CurrentNote().Number)
		return false
	}
	d.recordUnavailable(ctx, err)
	return false
}

// Offer passes a note from the configuration service to the sequence, which applies it, keeps it until the lower numbers have
// arrived, or refuses it.
func (d *Distributor) Offer(n jynote.Number, raw []byte) { d.offer("ConfigurationService", n, raw) }

// offer is Offer for a note from any source, which is named in the log.
func (d *Distributor) offer(source string, n jynote.Number, raw []byte) {
	d.update(source, func() {
		verdict, err := d.sequence.Offer(n, raw)
		switch verdict {
		case jynote.Refused:
			jylog.NoteRefused.Log(n, err)
		case jynote.Conflict:
			jylog.NoteConflict.Log(n, err)
		}
	})
}

// update calls f to change the sequence. If that leads to a newer state, it passes the state to OnState and announces it.
func (d *Distributor) update(source string, f func()) {
	d.mu.Lock()
	before := d.sequence.State().Number
	f()
	state := d.sequence.State()
	if state.Number > before {
		jylog.NoteApplied.Log(state.Number, state.Digest, source)
		d.config.OnState(state)
		d.current.Store(&jypeer.NoteRef{Number: state.Number, Digest: state.Digest})
	}
	d.mu.Unlock()
	if state.Number > before {
		d.logReady()
		d.announce(d.CurrentNote())
	}
}

// announce sends the note to some peers, each of which announces it to others once it has applied it.
func (d *Distributor) announce(note jypeer.NoteRef) {
	self := d.fleet.Self()
	for _, p := range d.fleet.RandomPeers(announceFanout) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), d.config.PeerTimeout)
			defer cancel()
			// An error is ignored: heartbeats carry the note too.
			_, _ = d.config.Clients.At(p.Address).Announce(ctx, connect.NewRequest(&jywire.AnnounceRequest{
				SenderAddress: self.Address, Note: jypeer.NoteRefToWire(note),
			}))
		}()
	}
}

// OnPeerNote compares a peer's current note with the local one. It records a conflict if the same number has other content,
// and fetches from the peer if its note is newer and this instance has caught up.
func (d *Distributor) OnPeerNote(address string, remote jypeer.NoteRef) {
	local := d.CurrentNote()
	if remote.Number == local.Number && remote.Number > 0 && remote.Digest != local.Digest {
		d.recordConflict(address, local, remote)
		return
	}
	if remote.Number > local.Number && d.caughtUp.Load() && !d.fetching.Swap(true) {
		go func() {
			defer d.fetching.Store(false)
			d.fetch(context.Background(), address)
		}()
	}
}

func (d *Distributor) recordConflict(address string, local, remote jypeer.NoteRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conflictingPeers[address] == remote {
		return
	}
	d.conflictingPeers[address] = remote
	jylog.PeerNoteDiffers.Log(address, local.Number, local.Digest, remote.Digest)
}

// fetchResult records whether a peer answered, and whether it was ready.
type fetchResult struct {
	reached bool
	ready   bool
}

// fetch asks a peer for newer notes or a newer state, and applies them.
func (d *Distributor) fetch(ctx context.Context, address string) fetchResult {
	ctx, cancel := context.WithTimeout(ctx, d.config.PeerTimeout)
	defer cancel()
	resp, err := d.config.Clients.At(address).FetchState(ctx, connect.NewRequest(&jywire.FetchStateRequest{
		Above: uint64(d.CurrentNote().Number),
	}))
	if err != nil {
		return fetchResult{}
	}
	out := fetchResult{reached: true, ready: resp.Msg.GetReady()}
	source := "Peer " + address
	for _, n := range resp.Msg.GetNotes() {
		d.offer(source, jynote.Number(n.GetNumber()), n.GetPublished())
	}
	if len(resp.Msg.GetState()) == 0 {
		return out
	}
	state, err := jynote.DecodeState(resp.Msg.GetState())
	if err != nil {
		return fetchResult{}
	}
	d.update(source, func() { d.sequence.Adopt(state) })
	return out
}

// Announce handles the announcement of a note by a peer.
func (d *Distributor) Announce(
	_ context.Context, q *connect.Request[jywire.AnnounceRequest],
) (*connect.Response[jywire.AnnounceResponse], error) {
	d.OnPeerNote(q.Msg.GetSenderAddress(), jypeer.NoteRefFromWire(q.Msg.GetNote()))
	return connect.NewResponse(&jywire.AnnounceResponse{}), nil
}

// FetchState returns the notes after the peer's number, or the whole state if the peer has no note or not all notes are kept.
func (d *Distributor) FetchState(
	_ context.Context, q *connect.Request[jywire.FetchStateRequest],
) (*connect.Response[jywire.FetchStateResponse], error) {
	above := jynote.Number(q.Msg.GetAbove())
	d.mu.Lock()
	state := d.sequence.State()
	notes, kept := d.sequence.NotesAfter(above)
	d.mu.Unlock()
	out := &jywire.FetchStateResponse{Ready: d.IsReady()}
	// A peer without any note needs the whole state: notes before the kept ones may be missing.
	if kept && above > 0 {
		for _, n := range notes {
			out.Notes = append(out.Notes, &jywire.Note{Number: uint64(n.Number), Published: n.Raw})
		}
		return connect.NewResponse(out), nil
	}
	if state.Number > above {
		raw, err := state.Encode()
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		out.State = raw
	}
	return connect.NewResponse(out), nil
}
