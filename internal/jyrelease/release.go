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

// Platform is what is read of the configuration service.
type Platform interface {
	Head(ctx context.Context, after jynote.Number, wait time.Duration) (jyplatform.Head, error)
	Note(ctx context.Context, n jynote.Number) ([]byte, error)
	Instances(ctx context.Context) (jyplatform.InstanceList, error)
}

// Fleet is what is asked of the membership.
type Fleet interface {
	Self() jymember.Member
	SyncList(list []jymember.ListedInstance)
	RandomPeers(count int) []jymember.Member
	RankedForKey(key string, count int, only func(jymember.Member) bool) []jymember.Member
}

// Config sets up a Release.
type Config struct {
	Platform          Platform
	Clients           *jypeer.Clients
	WatchWait         time.Duration
	PollInterval      time.Duration
	ListInterval      time.Duration
	PeerTimeout       time.Duration
	WatchersPerCentre int
	// FleetService is the name under which the kernel knows the membership.
	FleetService jykernel.Name
	// Seeds are addresses to ask at the start beside the platform's list.
	Seeds []string
	// OnState is called with each state that comes into force, in order.
	OnState func(jynote.State)
}

const (
	// announceTo is the number of peers that are told at once; the others hear from those.
	announceTo  = 10
	firstDelay  = 50 * time.Millisecond
	electionTry = time.Second
)

// Distributor holds what is in force at this instance.
type Distributor struct {
	config Config
	fleet  Fleet
	// mark is read without mu: the membership shows it in heartbeats, and coming into force asks the membership.
	mark     atomic.Pointer[jypeer.NoteRef]
	mu       sync.Mutex
	sequence *jynote.Sequence
	peerMark map[string]jypeer.NoteRef // marks under the same number with other content, by address
	fetching atomic.Bool
	compared atomic.Bool
	away     atomic.Bool

	readyLogged atomic.Bool
}

// New returns a release with nothing in force; the kernel links it to the membership.
func New(c Config) *Distributor {
	r := &Distributor{config: c, sequence: jynote.NewSequence(), peerMark: map[string]jypeer.NoteRef{}}
	r.mark.Store(&jypeer.NoteRef{})
	return r
}

// Link finds the membership, which in turn shows this release's mark.
func (r *Distributor) Link(k *jykernel.Kernel) error {
	f, err := jykernel.Find[Fleet](k, r.config.FleetService)
	r.fleet = f
	return err
}

// logReady tells once that the instance is ready.
func (r *Distributor) logReady() {
	if r.IsReady() && !r.readyLogged.Swap(true) {
		jylog.InstanceReady.Log(r.CurrentNote().Number)
	}
}

// CurrentNote returns the note in force.
func (r *Distributor) CurrentNote() jypeer.NoteRef { return *r.mark.Load() }

// IsReady reports whether the instance has compared with its peers and has a note in force.
func (r *Distributor) IsReady() bool { return r.compared.Load() && r.CurrentNote().Number > 0 }

// Status is what an operator sees of the release notes.
type Status struct {
	Number    jynote.Number
	Digest    string
	Refused   []jynote.Refusal
	Conflicts []jynote.Refusal
	// PeerConflicts names peers that hold other content under the same number.
	PeerConflicts []string
	ServiceAway   bool
	// AgeSeconds is how long ago the source answered last, 0 where that is not followed.
	AgeSeconds float64 `json:",omitempty"`
}

// Status returns what an operator sees.
func (r *Distributor) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sequence.State()
	out := Status{Number: s.Number, Digest: s.Digest.String(), Refused: s.Refused, Conflicts: r.sequence.Conflicts(), ServiceAway: r.away.Load()}
	for address, m := range r.peerMark {
		if m.Number == s.Number {
			out.PeerConflicts = append(out.PeerConflicts, address)
		}
	}
	return out
}

// Run compares with peers, then watches the configuration service whenever that falls to this instance.
func (r *Distributor) Run(ctx context.Context) error {
	r.compare(ctx)
	delay := firstDelay
	for ctx.Err() == nil {
		if !r.isWatcher() {
			jykernel.Wait(ctx, electionTry)
			continue
		}
		if r.watch(ctx) {
			delay = firstDelay
			continue
		}
		jykernel.Wait(ctx, delay+rand.N(delay))
		delay = min(2*delay, r.config.PollInterval)
	}
	return nil
}

// isWatcher reports whether this instance is among those of its data centre that watch for the others.
func (r *Distributor) isWatcher() bool {
	self := r.fleet.Self()
	sameCentre := func(m jymember.Member) bool { return m.DataCentre == self.DataCentre }
	for _, m := range r.fleet.RankedForKey("watch/"+self.DataCentre, r.config.WatchersPerCentre, sameCentre) {
		if m.Name == self.Name {
			return true
		}
	}
	return false
}

// watch waits for a change, reads it and reports whether the service answered.
func (r *Distributor) watch(ctx context.Context) bool {
	number := r.CurrentNote().Number
	head, err := r.config.Platform.Head(ctx, number, r.config.WatchWait)
	if err != nil {
		r.noteAway(ctx, err)
		return false
	}
	if r.away.Swap(false) {
		jylog.PlatformReachable.Log()
	}
	if head.Number <= number {
		return true
	}
	return r.read(ctx, number, head)
}

func (r *Distributor) noteAway(ctx context.Context, err error) {
	if ctx.Err() == nil && !r.away.Swap(true) {
		jylog.PlatformUnreachable.Log(err)
	}
}

// read offers the notes from the one after number, or from the base note, up to the head.
func (r *Distributor) read(ctx context.Context, number jynote.Number, head jyplatform.Head) bool {
	first := number + 1
	if head.Base > first {
		first = head.Base
	}
	for n := first; n <= head.Number; n++ {
		raw, err := r.config.Platform.Note(ctx, n)
		if err != nil {
			return r.missing(ctx, n, err)
		}
		r.Offer(n, raw)
	}
	return true
}

// missing deals with a gap: the number is asked for again after a delay.
func (r *Distributor) missing(ctx context.Context, n jynote.Number, err error) bool {
	var e *jyplatform.Error
	if errors.As(err, &e) && e.Kind == jyplatform.Missing {
		jylog.NoteWaiting.Log(n+1, r.CurrentNote().Number)
		return false
	}
	r.noteAway(ctx, err)
	return false
}

// Offer takes a note from the configuration service.
func (r *Distributor) Offer(n jynote.Number, raw []byte) { r.offer("ConfigurationService", n, raw) }

func (r *Distributor) offer(source string, n jynote.Number, raw []byte) {
	r.change(source, func() {
		verdict, err := r.sequence.Offer(n, raw)
		switch verdict {
		case jynote.Refused:
			jylog.NoteRefused.Log(n, err)
		case jynote.Conflict:
			jylog.NoteConflict.Log(n, err)
		}
	})
}

// change lets f alter the sequence, and puts in force and passes on what comes of it.
func (r *Distributor) change(source string, f func()) {
	r.mu.Lock()
	before := r.sequence.State().Number
	f()
	state := r.sequence.State()
	if state.Number > before {
		jylog.NoteApplied.Log(state.Number, state.Digest, source)
		r.config.OnState(state)
		r.mark.Store(&jypeer.NoteRef{Number: state.Number, Digest: state.Digest})
	}
	r.mu.Unlock()
	if state.Number > before {
		r.logReady()
		r.announce(r.CurrentNote())
	}
}

// announce tells some peers, each of which tells others when it has taken the state over.
func (r *Distributor) announce(m jypeer.NoteRef) {
	self := r.fleet.Self()
	for _, p := range r.fleet.RandomPeers(announceTo) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), r.config.PeerTimeout)
			defer cancel()
			// A lost announcement is made up for by the next heartbeat.
			_, _ = r.config.Clients.At(p.Address).Announce(ctx, connect.NewRequest(&jywire.AnnounceRequest{
				SenderAddress: self.Address, Note: jypeer.NoteRefToWire(m),
			}))
		}()
	}
}

// OnPeerNote compares a peer's mark with what is in force here, and fetches what is newer.
func (r *Distributor) OnPeerNote(address string, m jypeer.NoteRef) {
	own := r.CurrentNote()
	if m.Number == own.Number && m.Number > 0 && m.Digest != own.Digest {
		r.disagree(address, own, m)
		return
	}
	if m.Number > own.Number && r.compared.Load() && !r.fetching.Swap(true) {
		go func() {
			defer r.fetching.Store(false)
			r.fetch(context.Background(), address)
		}()
	}
}

func (r *Distributor) disagree(address string, own, other jypeer.NoteRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peerMark[address] == other {
		return
	}
	r.peerMark[address] = other
	jylog.PeerDisagrees.Log(address, own.Number, own.Digest, other.Digest)
}

// answer is what came of asking one peer for its state.
type answer struct {
	reached bool
	ready   bool
}

func (r *Distributor) fetch(ctx context.Context, address string) answer {
	ctx, cancel := context.WithTimeout(ctx, r.config.PeerTimeout)
	defer cancel()
	resp, err := r.config.Clients.At(address).FetchState(ctx, connect.NewRequest(&jywire.FetchStateRequest{Above: uint64(r.CurrentNote().Number)}))
	if err != nil {
		return answer{}
	}
	out := answer{reached: true, ready: resp.Msg.GetReady()}
	source := "Peer " + address
	for _, n := range resp.Msg.GetNotes() {
		r.offer(source, jynote.Number(n.GetNumber()), n.GetPublished())
	}
	if len(resp.Msg.GetState()) == 0 {
		return out
	}
	state, err := jynote.DecodeState(resp.Msg.GetState())
	if err != nil {
		return answer{}
	}
	r.change(source, func() { r.sequence.Adopt(state) })
	return out
}

// Announce answers a peer that has put a note in force.
func (r *Distributor) Announce(_ context.Context, q *connect.Request[jywire.AnnounceRequest]) (*connect.Response[jywire.AnnounceResponse], error) {
	r.OnPeerNote(q.Msg.GetSenderAddress(), jypeer.NoteRefFromWire(q.Msg.GetNote()))
	return connect.NewResponse(&jywire.AnnounceResponse{}), nil
}

// FetchState answers a peer that asks for the state in force.
func (r *Distributor) FetchState(_ context.Context, q *connect.Request[jywire.FetchStateRequest]) (*connect.Response[jywire.FetchStateResponse], error) {
	above := jynote.Number(q.Msg.GetAbove())
	r.mu.Lock()
	state := r.sequence.State()
	notes, kept := r.sequence.NotesAfter(above)
	r.mu.Unlock()
	out := &jywire.FetchStateResponse{Ready: r.IsReady()}
	// A peer with nothing in force needs what came before the notes that are kept.
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
