package jydiscovery

import (
	"context"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// FeedSource is an instance that watches the store and passes its changes on to others.
type FeedSource interface {
	// Name returns the name of the instance for the log.
	Name() string
	// Follow returns the changes after a position: at once if there are some, else at the next confirmation or after the wait.
	// An error means that the store must be watched directly.
	Follow(ctx context.Context, after Position, wait time.Duration) (FeedAnswer, error)
}

// Follow returns the changes after a position to an instance that uses this one as its feed source; see FeedSource.
func (d *Discovery) Follow(ctx context.Context, after Position, wait time.Duration) (FeedAnswer, error) {
	arrived, arrivedInstant := time.Now(), d.now()
	c, by, err := d.feed.since(ctx, after, min(wait, maxFeedAge))
	if err != nil {
		return FeedAnswer{}, err
	}
	out := FeedAnswer{Changes: c, Confirmed: by.at.Sub(arrived)}
	if by.provenAt != nil {
		offset := by.provenAt.Sub(arrivedInstant)
		out.Proven = &offset
	}
	return out, nil
}

// watchFeedSource applies changes from the feed source. It returns false if the store must be watched directly: there is no
// feed source, it is in back-off or does not answer, its last confirmation is too old, it read another era of the store, or its answer
// must not be applied.
func (d *Discovery) watchFeedSource(ctx context.Context) bool {
	left := maxFeedAge - time.Since(d.feed.lastConfirmation())
	if d.config.FeedSource == nil || time.Now().Before(d.backoffUntil) || left <= 0 {
		return false
	}
	source, ok := d.config.FeedSource()
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if d.follow(callCtx, source, d.limitWait(left), false) {
		return true
	}
	d.backoffUntil = time.Now().Add(feedSourceBackoff)
	return false
}

// follow applies changes from an instance, and reports whether it did. If not, it logs why, unless ctx was cancelled.
func (d *Discovery) follow(ctx context.Context, source FeedSource, wait time.Duration, isAlternative bool) bool {
	called, calledInstant := time.Now(), d.now()
	answer, err := source.Follow(ctx, d.position, wait)
	// The call arrived after it was made, so these are lower bounds of the times of the confirmation and of the proof.
	by := confirmation{at: called.Add(answer.Confirmed), fromAlternative: isAlternative}
	if answer.Proven != nil {
		// Clocks that differ in speed must not date a proof after the arrival of its answer.
		provenAt := min(calledInstant.Add(*answer.Proven), d.now())
		by.provenAt = &provenAt
	}
	age := time.Since(by.at)
	if err == nil {
		err = d.checkAnswer(answer, age)
	}
	if err == nil {
		err = d.accept(answer.Changes, by)
	}
	if err != nil && context.Cause(ctx) != context.Canceled {
		jylog.FeedSourceLeft.Log(source.Name(), age.Milliseconds(), err)
	}
	return err == nil
}

// checkAnswer returns an error if the answer of a feed source must not be applied.
func (d *Discovery) checkAnswer(a FeedAnswer, age time.Duration) error {
	const op = "follow instance"
	if age >= maxFeedAge {
		return jyfault.New(op, Outdated, "confirmed %v ago", age)
	}
	if d.config.MaxProofAge != 0 && a.Proven == nil {
		return jyfault.New(op, Unproven, "the answer has no proof")
	}
	return a.Changes.Configuration.checkFormat(op)
}
