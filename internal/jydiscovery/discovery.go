package jydiscovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyclock"
	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
	"github.com/jackdawyard/jackdawyard/pkg/jylease"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// Config sets up a Discovery.
type Config struct {
	Store Store
	// WatchWait is how long one watch waits for a change.
	WatchWait time.Duration
	// FeedSource returns the instance to watch in place of the store. If it is nil or returns false, the store is watched.
	FeedSource func() (FeedSource, bool)
	// Alternatives returns the instances to watch while the store cannot be read, in the order of preference. If it is nil, there are none.
	Alternatives func() []FeedSource
	// OnState is called with each new state, in order. It may call DataAge and Follow of the Discovery; its
	// other methods would deadlock.
	OnState func(jynote.State, []jyregistry.Server)
	// OnProof is called with each proof that the applied configuration was the newest one, after OnState. It may be nil.
	OnProof func(jylease.Proof)
	// MaxProofAge is for how long a proof is of use; 0 if no lease is kept. Otherwise a feed source must send proofs.
	MaxProofAge time.Duration
	// Now reads the clock that dates proofs, which must run on while the machine is suspended. The default is jyclock.Now.
	Now func() jylease.Instant
}

const (
	// answerTimeout is how long the answer to a watch may take in addition to its wait.
	answerTimeout = 800 * time.Millisecond
	// readTimeout bounds a full read. It is long because instances that start together share the store's link.
	readTimeout = 10 * time.Second
	// minWatchInterval is the minimum time between the starts of two watches, so that changes in quick succession share one.
	minWatchInterval = 600 * time.Millisecond
	// failureBackoff is the mean delay before the store is called again after a failure.
	failureBackoff = 300 * time.Millisecond
	// gracePeriod is how long a server that lapsed during an outage of the store, or is missing after it was restored, may take to register again.
	gracePeriod = 1600 * time.Millisecond
	// confirmPeriod is how long a removed server that a restored store brings back is not used. A store removes servers that are
	// silent for 4.5 s.
	confirmPeriod = 6 * time.Second
	// maxFeedAge is the maximum age of the last confirmation by a feed source; beyond it the store is watched directly.
	maxFeedAge = 1400 * time.Millisecond
	// minFeedInterval is the minimum time between the starts of two calls to a feed source.
	minFeedInterval = 100 * time.Millisecond
	// feedSourceBackoff is how long the store is watched directly after a feed source failed.
	feedSourceBackoff = 3 * time.Second
	// minWatchWait is the minimum wait of a watch.
	minWatchWait = 50 * time.Millisecond
	// alternativeTimeout is how long an alternative may take to answer, beyond the wait.
	alternativeTimeout = 300 * time.Millisecond
	// storeRetryInterval is the mean time between two calls to the store while an alternative is followed.
	storeRetryInterval = 2 * time.Second
	// alternativesBackoff is the mean time after which alternatives are called again if none was of use.
	alternativesBackoff = time.Second
)

// Discovery watches a store and reports its configuration and registered servers as states. Its methods other than Run may be
// called concurrently.
type Discovery struct {
	config Config
	feed   *feed
	// needsRead is set if no changes can follow the position, so that the whole store must be read.
	needsRead bool
	// backoffUntil is when the feed source may be called again after a failure.
	backoffUntil time.Time
	// alternativesUntil is how long alternatives are followed before the store is called again; zero while none is followed.
	alternativesUntil time.Time
	// alternative is the name of the last alternative that was of use.
	alternative string
	// alternativesBackoffUntil is when alternatives may be called again after all of them failed.
	alternativesBackoffUntil time.Time

	mu sync.Mutex
	// position is that of the last answer. Only Run changes it.
	position         Position
	registry         *jyregistry.Registry
	configuration    *Configuration
	offer            offer
	stateRevision    uint64 // of the last state; rises with each one
	storeUnavailable bool
	// configurationUnreadable is set while the newest configuration in the store could not be decoded.
	configurationUnreadable bool
	// eraSeenAt is when the last new era of the store was first seen, the zero time if there was none. eraProven is set once a proof of it
	// counts.
	eraSeenAt time.Time
	eraProven bool
}

// New returns a discovery without a configuration; Run fetches the first one.
func New(c Config) *Discovery {
	if c.Now == nil {
		c.Now = jyclock.Now
	}
	return &Discovery{config: c, feed: newFeed(), needsRead: true, registry: jyregistry.New(jyregistry.Config{
		GracePeriod: gracePeriod, ConfirmPeriod: confirmPeriod,
	})}
}

// IsReady reports whether a configuration is applied.
func (d *Discovery) IsReady() bool { return d.ConfigurationVersion() > 0 }

// ConfigurationVersion returns the version of the applied configuration, 0 if there is none.
func (d *Discovery) ConfigurationVersion() jynote.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versionLocked()
}

// versionLocked is ConfigurationVersion for callers that hold mu.
func (d *Discovery) versionLocked() jynote.Number {
	if d.configuration == nil {
		return 0
	}
	return d.configuration.Version
}

// Configuration returns the applied configuration, which must not be changed, or nil if there is none.
func (d *Discovery) Configuration() *Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configuration
}

// IsStoreUnavailable reports whether the store could not be read and neither it nor a feed source has answered since.
func (d *Discovery) IsStoreUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeUnavailable
}

// Run watches the store, or the feed source in its place, until ctx ends. It always returns nil.
func (d *Discovery) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.catchUp(ctx)
		started := time.Now()
		interval, err := d.fetch(ctx)
		if err != nil {
			d.handleFailure(ctx, err)
			continue
		}
		jykernel.Wait(ctx, interval-time.Since(started))
	}
	return nil
}

// handleFailure requests a full read if the history of the position is gone, or cannot be read. Unless it is gone, it marks the store
// as unavailable and waits for the back-off.
func (d *Discovery) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var e *Error
	if errors.As(err, &e) && (e.Kind == Compacted || e.Kind == Restored) {
		d.needsRead = true
		return
	}
	if errors.As(err, &e) && e.Kind == Malformed {
		// The same changes would be returned again.
		d.needsRead = true
	}
	d.mu.Lock()
	if !d.storeUnavailable {
		jylog.PlatformUnreachable.Log(err)
	}
	d.storeUnavailable = true
	d.feed.markStoreUnavailable()
	d.registry.MarkStoreUnavailable()
	d.mu.Unlock()
	jykernel.Wait(ctx, jitter(failureBackoff))
}

// fetch gets changes from the feed source, or from the store if that fails, or from an alternative if that fails too, and applies
// them. It returns the minimum time between the starts of this call and the next one.
func (d *Discovery) fetch(ctx context.Context) (time.Duration, error) {
	watchInterval, feedInterval := d.watchInterval(), d.limitToProofs(minFeedInterval)
	if d.needsRead {
		return watchInterval, d.readStore(ctx)
	}
	if d.watchFeedSource(ctx) {
		d.leaveAlternatives()
		return feedInterval, nil
	}
	if time.Now().Before(d.alternativesUntil) && d.watchAlternatives(ctx) {
		return feedInterval, nil
	}
	err := d.watchStore(ctx)
	if err == nil {
		d.leaveAlternatives()
		return watchInterval, nil
	}
	if isUnreachable(err) && ctx.Err() == nil && d.fallBack(ctx, err) {
		return feedInterval, nil
	}
	return watchInterval, err
}

// watchStore waits for changes in the store and applies them.
func (d *Discovery) watchStore(ctx context.Context) error {
	// Instances that use this one as their feed source need a confirmation at least every WatchWait.
	wait := d.limitWait(d.limitToProofs(d.config.WatchWait) - d.DataAge())
	if !d.alternativesUntil.IsZero() {
		wait = minWatchWait
	}
	called := d.now()
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	c, err := d.config.Store.Watch(ctx, d.position.Revision, wait)
	if err != nil {
		return err
	}
	return d.accept(c, confirmation{at: time.Now(), provenAt: &called})
}

// accept applies changes with their confirmation, and adds them to the feed for other instances. Its error is of kind
// Restored if the changes are of another era, and so do not follow the position.
func (d *Discovery) accept(c Changes, by confirmation) error {
	if c.Era != d.position.Era {
		return jyfault.New("follow store", Restored, "changes of era %d do not follow era %d", c.Era, d.position.Era)
	}
	by.provenAt = d.noteReadability(c.Configuration, c.ConfigurationUnreadable, by.provenAt)
	d.moveTo(c.Position)
	d.feed.add(c, by)
	d.apply(c)
	d.reportProof(by.provenAt)
	return nil
}

// moveTo records the position of an answer. If its era is another one than before, the store was restored.
func (d *Discovery) moveTo(p Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.Era != d.position.Era && (d.position.Era != 0 || p.Era > jylease.FirstEra) {
		d.eraSeenAt, d.eraProven = time.Now(), false
	}
	if d.position.Era != 0 && p.Era != d.position.Era {
		d.registry.MarkStoreRestored()
		jylog.StoreEraChanged.Log(d.position.Era, p.Era, d.position.Revision, p.Revision)
	}
	d.position = p
}

// Position returns the position of the last answer of the store or a feed source, the zero position before the first.
func (d *Discovery) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// limitWait returns the wait of a watch. It is shorter than maxWait while lapsed servers may register again, so that those
// that do not are removed on time, and while the proofs of a new era do not count yet.
func (d *Discovery) limitWait(maxWait time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left, lapsed := d.registry.UntilExpiry(time.Now()); lapsed {
		maxWait = min(maxWait, left)
	}
	if left, isAwaited := d.untilEraCounts(); isAwaited {
		// The first proof that counts is that of the first call after the delay.
		maxWait = min(maxWait, left)
	}
	return max(minWatchWait, maxWait)
}

// readStore reads the whole store and replaces the registrations. It publishes a state even if nothing changed.
func (d *Discovery) readStore(ctx context.Context) error {
	called := d.now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := d.config.Store.Read(ctx)
	if err != nil {
		return err
	}
	proof := d.noteReadability(s.Configuration, s.ConfigurationUnreadable, &called)
	if d.ConfigurationVersion() == 0 {
		// The store may have come back from a copy that is older than what the other instances apply.
		s.Configuration = d.newerThan(ctx, s.Configuration)
	}
	d.moveTo(s.Position)
	d.needsRead = false
	now := time.Now()
	d.feed.restart(s.Position, confirmation{at: now, provenAt: proof})
	d.replace(now, s)
	d.reportProof(proof)
	return nil
}

// replace applies the content of the store, and publishes a state.
func (d *Discovery) replace(now time.Time, s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markStoreAvailable()
	d.registry.Replace(now, s.Registrations)
	d.registry.Expire(now)
	d.applyConfiguration(s.Configuration)
	d.publish()
}

// apply applies changes, and publishes a state if there are any or if lapsed servers expired.
func (d *Discovery) apply(c Changes) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markStoreAvailable()
	d.registry.Apply(now, c.Events)
	expired := d.registry.Expire(now)
	applied := d.applyConfiguration(c.Configuration)
	if expired || applied || len(c.Events) > 0 {
		d.publish()
	}
}

func (d *Discovery) markStoreAvailable() {
	if d.storeUnavailable {
		jylog.PlatformReachable.Log()
	}
	d.storeUnavailable = false
}

// DataAge returns the time since the store was last known to hold nothing newer, or 0 if there was no answer yet.
func (d *Discovery) DataAge() time.Duration {
	confirmedAt := d.feed.lastConfirmation()
	if confirmedAt.IsZero() {
		return 0
	}
	return time.Since(confirmedAt)
}

// applyConfiguration replaces the configuration by a newer one, and reports whether it did.
func (d *Discovery) applyConfiguration(c *Configuration) bool {
	if c == nil || c.Version <= d.versionLocked() {
		return false
	}
	d.configuration = c
	return true
}

// publish passes the configuration and the servers to OnState; the caller holds mu.
func (d *Discovery) publish() {
	if d.configuration == nil {
		return
	}
	d.stateRevision++
	servers := d.registry.Servers()
	state := stateOf(*d.configuration, servers)
	state.Revision = d.stateRevision
	jylog.StateApplied.Log(state.Number, state.Revision, len(servers))
	d.config.OnState(state, servers)
}

// stateOf combines a configuration with the registered servers of its services.
func stateOf(c Configuration, servers []jyregistry.Server) jynote.State {
	state := jynote.State{Number: c.Version, Services: c.Services, Routes: c.Routes, Accounts: c.Accounts}
	for _, s := range servers {
		if _, known := state.Service(s.Service); !known {
			continue
		}
		state.BackendServers = append(state.BackendServers, jynote.BackendServer{
			Name: s.Name(), Identity: string(s.ID), Service: s.Service, Address: s.Address, DataCentre: s.DataCentre,
			Slots: s.Slots, Connections: c.Connections[s.Service],
		})
	}
	return state
}
