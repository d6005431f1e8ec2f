package jyfleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/internal/jypeer"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jymember"
)

// Config holds the settings and collaborators of a Fleet.
type Config struct {
	Self     jymember.Member
	Interval time.Duration // between two heartbeats after the startup
	Timeout  time.Duration // of a call to a peer
	// SuccessionRetention is how long a succession is kept: the record of which run took over the request ids of an ended run.
	SuccessionRetention time.Duration
	Clients             *jypeer.Clients
	// CurrentNote returns the current release note of this instance, which heartbeats carry.
	CurrentNote func() jypeer.NoteRef
	// OnPeerNote is called with the address and the current release note of a peer for each heartbeat and answer from it.
	OnPeerNote func(address string, n jypeer.NoteRef)
	// Seeds are the addresses that get heartbeats while no other instance is known to be working.
	Seeds []string
}

const (
	suspectIntervals  = 3           // heartbeat intervals from Suspect to Dead
	deadRetention     = time.Minute // how long a dead member is kept
	maxHelpers        = 3           // per probe
	maxUpdatesPerCall = 40
	// pauseIntervals is the number of heartbeat intervals between two ticks above which the process counts as paused.
	pauseIntervals = 3
)

// Fleet sends and answers heartbeats, and keeps the membership that results from them. It is safe for concurrent use.
type Fleet struct {
	config   Config
	schedule jymember.HeartbeatSchedule
	started  time.Time
	mu       sync.Mutex
	table    *jymember.Table
	seeds    []string
}

// New returns a fleet that knows only this instance.
func New(c Config) *Fleet {
	return &Fleet{config: c, schedule: jymember.DefaultHeartbeatSchedule(c.Interval), started: time.Now(), seeds: c.Seeds,
		table: jymember.NewTable(jymember.Config{
			SuspectTimeout:      suspectIntervals * c.Interval,
			DeadRetention:       deadRetention,
			SuccessionRetention: c.SuccessionRetention,
			Helpers:             maxHelpers,
			UpdatesPerCall:      maxUpdatesPerCall,
		}, c.Self)}
}

// Run sends heartbeats until ctx ends. It always returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	last := time.Now()
	f.join(ctx)
	for {
		timer := time.NewTimer(f.schedule.NextDelay(time.Since(f.started)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		now := time.Now()
		f.tick(now, now.Sub(last))
		last = now
		f.join(ctx)
		f.probe(ctx)
	}
}

// tick declares members dead that were suspected for too long. After a pause of the process it restarts their timeouts instead.
func (f *Fleet) tick(now time.Time, elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if elapsed > pauseIntervals*f.config.Interval {
		jylog.PauseDetected.Log(elapsed.Milliseconds())
		f.table.RestartSuspectTimers(now)
		return
	}
	logEvents(f.table.Expire(now))
}

// probe sends the next heartbeat in the background, through helpers if needed, and suspects the target if no answer arrives.
func (f *Fleet) probe(ctx context.Context) {
	f.mu.Lock()
	p, ok := f.table.NextProbe(rand.Shuffle)
	f.mu.Unlock()
	if !ok || p.Target.Address == "" {
		return
	}
	go func() {
		if f.sendHeartbeat(ctx, p.Target) || f.sendHeartbeatVia(ctx, p) {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		logEvents(f.table.RecordProbeFailure(time.Now(), p.Target))
	}()
}

// join sends heartbeats to the seeds while no other instance is alive or suspected.
func (f *Fleet) join(ctx context.Context) {
	if f.WorkingCount() > 1 {
		return
	}
	f.mu.Lock()
	seeds := f.seeds
	f.mu.Unlock()
	for _, address := range seeds {
		if address != f.config.Self.Address {
			go f.sendHeartbeat(ctx, jymember.Member{Address: address})
		}
	}
}

// SetSeeds replaces the seeds.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// sendHeartbeat sends one heartbeat and reports whether it was answered.
func (f *Fleet) sendHeartbeat(ctx context.Context, to jymember.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	return f.exchange(ctx, to) != nil
}

// exchange sends a heartbeat, applies its answer, and returns the member that answered, or nil.
func (f *Fleet) exchange(ctx context.Context, to jymember.Member) *jywire.Member {
	request := f.newHeartbeat(to.Name)
	r, err := f.config.Clients.At(to.Address).Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	f.applyHeartbeat(r.Msg.GetSender(), r.Msg.GetUpdates(), r.Msg.GetNote(), !request.GetWantsEverything())
	return r.Msg.GetSender()
}

func (f *Fleet) newHeartbeat(to jymember.Name) *jywire.HeartbeatRequest {
	currentNote := f.config.CurrentNote()
	f.mu.Lock()
	defer f.mu.Unlock()
	return &jywire.HeartbeatRequest{
		Sender:          jypeer.MemberToWire(f.table.Self()),
		Updates:         jypeer.UpdatesToWire(f.table.UpdatesFor(to)),
		Note:            jypeer.NoteRefToWire(currentNote),
		WantsEverything: f.schedule.WantsFullState(time.Since(f.started), to),
	}
}

// applyHeartbeat applies the content of a heartbeat or its answer. isGossip is false for a full state, which is not passed on.
func (f *Fleet) applyHeartbeat(sender *jywire.Member, updates []*jywire.Update, note *jywire.NoteMark, isGossip bool) {
	m := jypeer.MemberFromWire(sender)
	f.mu.Lock()
	now := time.Now()
	merge := f.table.Merge
	if !isGossip {
		merge = f.table.MergeFullState
	}
	logEvents(merge(now, jypeer.UpdatesFromWire(updates)))
	logEvents(f.table.RecordAnswer(now, m))
	f.mu.Unlock()
	f.config.OnPeerNote(m.Address, jypeer.NoteRefFromWire(note))
}

// sendHeartbeatVia asks the helpers to send a heartbeat to the target, and reports whether one of them got an answer.
func (f *Fleet) sendHeartbeatVia(ctx context.Context, p jymember.Probe) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*f.config.Timeout)
	defer cancel()
	answers := make(chan *jywire.Member, len(p.Helpers))
	for _, h := range p.Helpers {
		go func() {
			r, err := f.config.Clients.At(h.Address).HeartbeatVia(ctx,
				connect.NewRequest(&jywire.HeartbeatViaRequest{Target: jypeer.MemberToWire(p.Target)}))
			if err != nil {
				answers <- nil
				return
			}
			answers <- r.Msg.GetTarget()
		}()
	}
	for range p.Helpers {
		if m := <-answers; m != nil {
			f.mu.Lock()
			logEvents(f.table.RecordAnswer(time.Now(), jypeer.MemberFromWire(m)))
			f.mu.Unlock()
			return true
		}
	}
	return false
}

// Heartbeat applies a peer's heartbeat and answers it.
func (f *Fleet) Heartbeat(_ context.Context, r *connect.Request[jywire.HeartbeatRequest]) (*connect.Response[jywire.HeartbeatResponse], error) {
	isUnknownRun := f.isUnknownRun(jypeer.MemberFromWire(r.Msg.GetSender()))
	f.applyHeartbeat(r.Msg.GetSender(), r.Msg.GetUpdates(), r.Msg.GetNote(), true)
	currentNote := f.config.CurrentNote()
	f.mu.Lock()
	defer f.mu.Unlock()
	updates := f.table.UpdatesFor(jymember.Name(r.Msg.GetSender().GetName()))
	switch {
	case r.Msg.GetWantsEverything():
		updates = f.table.FullState()
	case isUnknownRun:
		updates = append(updates, f.table.AliveSample(rand.Shuffle)...)
	}
	return connect.NewResponse(&jywire.HeartbeatResponse{
		Sender:  jypeer.MemberToWire(f.table.Self()),
		Updates: jypeer.UpdatesToWire(updates),
		Note:    jypeer.NoteRefToWire(currentNote),
	}), nil
}

func (f *Fleet) isUnknownRun(m jymember.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.IsUnknownRun(m)
}

// HeartbeatVia sends a heartbeat on behalf of a peer that cannot reach the target.
func (f *Fleet) HeartbeatVia(ctx context.Context, r *connect.Request[jywire.HeartbeatViaRequest]) (*connect.Response[jywire.HeartbeatViaResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	target := f.exchange(ctx, jypeer.MemberFromWire(r.Msg.GetTarget()))
	if target == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoAnswer)
	}
	return connect.NewResponse(&jywire.HeartbeatViaResponse{Target: target}), nil
}

var errNoAnswer = errors.New("the target does not answer")

// SyncList applies the platform's list of instances.
func (f *Fleet) SyncList(list []jymember.ListedInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	logEvents(f.table.SyncList(time.Now(), list))
}

// leaveNotifications is the number of instances that are notified directly when this one leaves; the others learn it from them.
const leaveNotifications = 3

// Leave announces that this instance shuts down, and that the successor owns its request ids now; a nil successor means that no
// run does.
func (f *Fleet) Leave(ctx context.Context, successor *jymember.Run) {
	f.mu.Lock()
	f.table.Leave(time.Now(), successor)
	f.mu.Unlock()
	for _, m := range f.RandomPeers(leaveNotifications) {
		f.sendHeartbeat(ctx, m)
	}
}

// logEvents logs the events, except those of members that are Alive again.
func logEvents(events []jymember.Event) {
	for _, e := range events {
		switch {
		case e.New:
			jylog.MemberJoined.Log(e.Member.Name, e.Member.Boot)
		case e.Member.Status == jymember.Suspect:
			jylog.MemberSuspect.Log(e.Member.Name)
		case e.Member.Status == jymember.Dead:
			jylog.MemberDead.Log(e.Member.Name)
		case e.Member.Status == jymember.Left:
			jylog.MemberLeft.Log(e.Member.Name)
		}
	}
}
