package jydiscovery

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

// Feeder is an instance that follows the store and tells others of changes.
type Feeder interface {
	// Name names the instance in the log.
	Name() string
	// Follow returns what changed after a revision, and how long ago the store was known to hold nothing newer: at once if
	// something changed, else with the next proof or after the wait.
	Follow(ctx context.Context, after Revision, wait time.Duration) (Changes, time.Duration, error)
}

// Follow answers another instance that follows this one.
func (d *Discovery) Follow(ctx context.Context, after Revision, wait time.Duration) (Changes, time.Duration, error) {
	return d.feed.since(ctx, after, min(wait, feedAge))
}

// followFeeder hears of changes from another instance, and reports false where the store must be asked itself: nobody feeds
// this one, the feeder does not answer, or what it knows is too old.
func (d *Discovery) followFeeder(ctx context.Context) bool {
	now := time.Now()
	if d.config.Feeder == nil || now.Before(d.pausedUntil) || now.Sub(d.proven) >= feedAge {
		return false
	}
	feeder, ok := d.config.Feeder()
	if !ok {
		return false
	}
	left := feedAge - now.Sub(d.proven)
	call, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	c, age, err := feeder.Follow(call, d.revision, d.waitAtMost(left))
	if err != nil || age >= feedAge {
		if ctx.Err() == nil {
			jylog.FeederLeft.Log(feeder.Name(), age.Milliseconds(), err)
		}
		d.pausedUntil = time.Now().Add(feedPause)
		return false
	}
	// The age is as of the answer's departure: the call's start is the latest time that it is sure to speak for.
	if proven := time.Now().Add(-age); proven.After(d.proven) {
		d.proven = proven
	}
	d.isFed = true
	d.accept(c)
	return true
}
