package jydiscovery

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jylease"
)

// Cause says why the last answers proved nothing.
type Cause string

// The causes.
const (
	// CauseNoAnswer means that no answer arrived, or none that can be combined with what is known.
	CauseNoAnswer Cause = "NoAnswer"
	// CauseUnreadable means that the newest configuration in the store cannot be decoded.
	CauseUnreadable Cause = "ConfigurationUnreadable"
	// CauseNotApplied means that another instance holds a newer configuration.
	CauseNotApplied Cause = "NewerConfigurationNotApplied"
	// CauseNewEra means that the store came back from a copy a short time ago.
	CauseNewEra Cause = "StoreRestored"
)

// now returns the current instant of the clock that dates proofs.
func (d *Discovery) now() jylease.Instant { return d.config.Now() }

// ProofCause returns why the last answers proved nothing. It is meaningful only while proofs are missing.
func (d *Discovery) ProofCause() Cause {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.configurationUnreadable:
		return CauseUnreadable
	case d.offer.version > d.versionLocked():
		return CauseNotApplied
	case d.storeUnavailable || d.eraSeenAt.IsZero() || time.Since(d.eraSeenAt) > maxEraCause:
		return CauseNoAnswer
	}
	return CauseNewEra
}

// maxEraCause is how long after a new era was first seen a missing proof is put down to it: the delay, and a watch after it.
const maxEraCause = jylease.EraDelay + 3*time.Second

// noteReadability records whether the newest configuration in the store could be decoded, from an answer that may hold one. It returns the
// proof of the answer, nil if an unreadable configuration withholds it: that one is newer than what is applied.
func (d *Discovery) noteReadability(c *Configuration, isUnreadable bool, proof *jylease.Instant) *jylease.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c != nil || isUnreadable {
		d.configurationUnreadable = isUnreadable
	}
	if d.configurationUnreadable {
		return nil
	}
	return proof
}

// reportProof passes a proof on to OnProof, after everything that it covers is applied. While another instance is known to hold a newer
// configuration, the store may have lost it, and nothing is proven.
func (d *Discovery) reportProof(proof *jylease.Instant) {
	if proof == nil || d.config.OnProof == nil {
		return
	}
	d.mu.Lock()
	isBehind := d.offer.version > d.versionLocked()
	era := d.position.Era
	d.eraProven = d.eraProven || time.Since(d.eraSeenAt)-d.now().Sub(*proof) >= jylease.EraDelay
	d.mu.Unlock()
	if isBehind {
		return
	}
	d.config.OnProof(jylease.Proof{Era: jylease.Era(era), At: *proof})
}

// limitToProofs shortens an interval so that proofs arrive several times within MaxProofAge.
func (d *Discovery) limitToProofs(interval time.Duration) time.Duration {
	if d.config.MaxProofAge == 0 {
		return interval
	}
	return min(interval, d.config.MaxProofAge/proofsPerLease)
}

// proofsPerLease is the number of watches within MaxProofAge. A proof is a watch old on arrival, must last for another one, and may be
// passed on.
const proofsPerLease = 4

// untilEraCounts returns the time until the first proof of a new era may count, which is negative later, and true while that proof is
// awaited; the caller holds mu. It is awaited for a limited time, since proofs may be withheld.
func (d *Discovery) untilEraCounts() (time.Duration, bool) {
	if d.config.MaxProofAge == 0 || d.eraSeenAt.IsZero() || d.eraProven {
		return 0, false
	}
	left := time.Until(d.eraSeenAt.Add(jylease.EraDelay))
	return left, left > -jylease.EraDelay
}

// watchInterval returns the minimum time between the starts of two watches of the store.
func (d *Discovery) watchInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, isAwaited := d.untilEraCounts(); isAwaited {
		return minFeedInterval
	}
	return d.limitToProofs(minWatchInterval)
}
