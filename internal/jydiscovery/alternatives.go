package jydiscovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
)

// isUnreachable reports whether an error is of kind Unreachable.
func isUnreachable(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Unreachable
}

// fallBack follows the alternatives after a watch of the store failed. It returns false if none of them is of use.
func (d *Discovery) fallBack(ctx context.Context, cause error) bool {
	isFirst := d.alternativesUntil.IsZero()
	if !d.watchAlternatives(ctx) {
		d.alternativesUntil = time.Time{}
		return false
	}
	d.alternativesUntil = time.Now().Add(jitter(storeRetryInterval))
	if isFirst {
		jylog.AlternativeFollowed.Log(cause)
	}
	return true
}

// watchAlternatives applies changes from the first alternative that is of use, and returns false if none is.
func (d *Discovery) watchAlternatives(ctx context.Context) bool {
	if d.config.Alternatives == nil || time.Now().Before(d.alternativesBackoffUntil) {
		return false
	}
	for _, source := range d.orderedAlternatives() {
		wait := d.limitWait(d.limitToProofs(maxFeedAge) - d.DataAge())
		if d.followAlternative(ctx, source, wait) {
			d.alternative = source.Name()
			return true
		}
	}
	d.alternativesBackoffUntil = time.Now().Add(jitter(alternativesBackoff))
	return false
}

// orderedAlternatives returns the alternatives, with the last one that was of use first.
func (d *Discovery) orderedAlternatives() []FeedSource {
	out := slices.Clone(d.config.Alternatives())
	slices.SortStableFunc(out, func(a, b FeedSource) int {
		switch d.alternative {
		case a.Name():
			return -1
		case b.Name():
			return 1
		}
		return 0
	})
	return out
}

func (d *Discovery) followAlternative(ctx context.Context, source FeedSource, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+alternativeTimeout)
	defer cancel()
	return d.follow(ctx, source, wait, true)
}

// leaveAlternatives records that changes come from the store or the feed source again.
func (d *Discovery) leaveAlternatives() {
	if d.alternativesUntil.IsZero() {
		return
	}
	d.alternativesUntil = time.Time{}
	jylog.AlternativeLeft.Log()
}

// jitter returns a random duration from half of the mean to one and a half of it, so that instances do not call in step.
func jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}
