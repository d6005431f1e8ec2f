package jydiscovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jykernel"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// Config sets up a Discovery.
type Config struct {
	Store Store
	// WatchWait is how long one watch waits for a change.
	WatchWait time.Duration
	// FeedSource returns the instance to hear from in place of the store; nil, or none, is the store itself.
	FeedSource func() (FeedSource, bool)
	// OnState is called with each state that comes into force, in order.
	OnState func(jynote.State, []jyregistry.Server)
}

const (
	// answerTime is how long the store may take beyond the wait of a watch.
	answerTime = 800 * time.Millisecond
	// readTime is how long the store may take for all that it holds: it shares its link among all that have just started.
	readTime = 10 * time.Second
	// watchInterval is the least time between the starts of two watches, so that changes in quick succession share one.
	watchInterval = 600 * time.Millisecond
	// retryInterval is how long the store is left alone after a failure, on average.
	retryInterval = 300 * time.Millisecond
	// returnTime is how long a server that lapsed while the store was away may take to register again.
	returnTime = 1600 * time.Millisecond
	// feedAge is how old the proof may be that a feeder has told of all changes; beyond it the store is asked itself.
	feedAge = 1400 * time.Millisecond
	// feedInterval is the least time between the starts of two calls to a feeder.
	feedInterval = 100 * time.Millisecond
	// feedPause is how long the store is asked after a feeder failed.
	feedPause = 3 * time.Second
	// minWait is the shortest wait of a watch.
	minWait = 50 * time.Millisecond
)

// Discovery follows a store.
type Discovery struct {
	config   Config
	revision Revision // of the last answer; 0 asks for all
	feed     *feed
	// pausedUntil is when a feeder is asked again.
	pausedUntil time.Time

	mu            sync.Mutex
	registry      *jyregistry.Registry
	configuration *Configuration
	changes       uint64
	away          bool
}

// New returns a discovery that knows nothing.
func New(c Config) *Discovery {
	return &Discovery{config: c, feed: newFeed(), registry: jyregistry.New(jyregistry.Config{GracePeriod: returnTime})}
}

// IsReady reports whether a configuration is in force.
func (d *Discovery) IsReady() bool { return d.ConfigurationVersion() > 0 }

// ConfigurationVersion returns the version of the configuration in force, 0 where there is none.
func (d *Discovery) ConfigurationVersion() jynote.Number {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.configuration == nil {
		return 0
	}
	return d.configuration.Version
}

// IsStoreUnavailable reports whether the store could not be read last.
func (d *Discovery) IsStoreUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away
}

// Run follows the store until ctx ends.
func (d *Discovery) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		interval, err := d.follow(ctx)
		if err != nil {
			d.failed(ctx, err)
			continue
		}
		jykernel.Wait(ctx, interval-time.Since(started))
	}
	return nil
}

func (d *Discovery) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var e *Error
	if errors.As(err, &e) && e.Kind == Compacted {
		d.revision = 0
		return
	}
	d.mu.Lock()
	if !d.away {
		jylog.PlatformUnreachable.Log(err)
	}
	d.away = true
	d.feed.suspend()
	d.registry.MarkStoreUnavailable()
	d.mu.Unlock()
	jykernel.Wait(ctx, time.Duration((0.5+rand.Float64())*float64(retryInterval)))
}

// follow makes one call, to the store or to the instance that feeds this one, takes its answer, and returns the least time to
// the next call.
func (d *Discovery) follow(ctx context.Context) (time.Duration, error) {
	if d.revision == 0 {
		return watchInterval, d.read(ctx)
	}
	if d.followFeeder(ctx) {
		return feedInterval, nil
	}
	return watchInterval, d.watch(ctx)
}

func (d *Discovery) watch(ctx context.Context) error {
	// Instances that follow this one need a proof at least each WatchWait.
	wait := d.waitAtMost(d.config.WatchWait - d.DataAge())
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	c, err := d.config.Store.Watch(ctx, d.revision, wait)
	if err != nil {
		return err
	}
	d.accept(c, time.Now())
	return nil
}

// accept takes changes that were proven to be all, and remembers them for other instances.
func (d *Discovery) accept(c Changes, proven time.Time) {
	d.revision = c.Revision
	d.feed.add(c, proven)
	d.take(c)
}

// waitAtMost returns how long to wait for a change: shorter while servers that lapsed may come back, so that those that do not
// are dropped in time.
func (d *Discovery) waitAtMost(most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left, lapsed := d.registry.UntilExpiry(time.Now()); lapsed {
		most = min(most, left)
	}
	return max(minWait, most)
}

func (d *Discovery) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	s, err := d.config.Store.Read(ctx)
	if err != nil {
		return err
	}
	d.revision = s.Revision
	now := time.Now()
	d.feed.restart(s.Revision, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered()
	d.registry.Replace(now, s.Registrations)
	d.registry.Expire(now)
	d.adopt(s.Configuration)
	d.publish()
	return nil
}

func (d *Discovery) take(c Changes) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered()
	for _, r := range c.Registered {
		d.registry.Put(now, r)
	}
	for _, id := range c.Removed {
		d.registry.Remove(now, id)
	}
	expired := d.registry.Expire(now)
	adopted := d.adopt(c.Configuration)
	if expired || adopted || len(c.Registered)+len(c.Removed) > 0 {
		d.publish()
	}
}

func (d *Discovery) answered() {
	if d.away {
		jylog.PlatformReachable.Log()
	}
	d.away = false
}

// DataAge returns how long ago the store was known to hold nothing newer, or 0 if it never was.
func (d *Discovery) DataAge() time.Duration {
	proven := d.feed.provenAt()
	if proven.IsZero() {
		return 0
	}
	return time.Since(proven)
}

// adopt takes a configuration, unless it is not newer than the one in force.
func (d *Discovery) adopt(c *Configuration) bool {
	if c == nil || (d.configuration != nil && c.Version <= d.configuration.Version) {
		return false
	}
	d.configuration = c
	return true
}

// publish puts the configuration and the servers in force; the caller holds mu.
func (d *Discovery) publish() {
	if d.configuration == nil {
		return
	}
	d.changes++
	servers := d.registry.Servers()
	state := stateOf(*d.configuration, servers)
	state.Revision = d.changes
	jylog.StateApplied.Log(state.Number, state.Revision, len(servers))
	d.config.OnState(state, servers)
}

// stateOf joins a configuration with the servers of its services.
func stateOf(c Configuration, servers []jyregistry.Server) jynote.State {
	state := jynote.State{Number: c.Version, Services: c.Services, Routes: c.Routes}
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
