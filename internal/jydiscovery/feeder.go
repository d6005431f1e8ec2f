package jydiscovery

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

// FeedSource is an instance that follows the store and tells others of changes.
type FeedSource interface {
	// Name names the instance in the log.
	Name() string
	// Follow returns what changed after a revision, and when the store was known to hold nothing newer, counted from the
	// arrival of the call: at once if something changed, else with the next proof or after the wait.
	Follow(ctx context.Context, after Revision, wait time.Duration) (c Changes, proof time.Duration, err error)
}

// Follow answers another instance that follows this one.
func (d *Discovery) Follow(ctx context.Context, after Revision, wait time.Duration) (c Changes, proof time.Duration, err error) {
	arrived := time.Now()
	c, proven, err := d.feed.since(ctx, after, min(wait, feedAge))
	return c, proven.Sub(arrived), err
}

// followFeeder hears of changes from another instance, and reports false where the store must be asked itself: nobody feeds
// this one, the feeder does not answer, or what it knows is too old.
func (d *Discovery) followFeeder(ctx context.Context) bool {
	called := time.Now()
	left := feedAge - called.Sub(d.feed.provenAt())
	if d.config.FeedSource == nil || called.Before(d.pausedUntil) || left <= 0 {
		return false
	}
	feeder, ok := d.config.FeedSource()
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	c, proof, err := feeder.Follow(call, d.revision, d.waitAtMost(left))
	// The call arrived after it was made: the proof is at least so young.
	proven := called.Add(proof)
	if age := time.Since(proven); err != nil || age >= feedAge {
		if ctx.Err() == nil {
			jylog.FeederLeft.Log(feeder.Name(), age.Milliseconds(), err)
		}
		d.pausedUntil = time.Now().Add(feedPause)
		return false
	}
	d.accept(c, proven)
	return true
}
