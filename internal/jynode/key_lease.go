package jynode

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jyclock"
	"github.com/jackdawyard/jackdawyard/internal/jydiscovery"
	"github.com/jackdawyard/jackdawyard/internal/jylog"
	"github.com/jackdawyard/jackdawyard/pkg/jylease"
)

const (
	// leaseLogInterval is how often the lease is checked for the log, also without requests.
	leaseLogInterval = time.Second
	// minPause is the time between two of these checks from which on the process counts as paused.
	minPause = 2*leaseLogInterval + 500*time.Millisecond
	// maxStart is how long after the start an instance may wait for its first proof without being ready. It covers jylease.EraDelay and
	// a watch.
	maxStart = jylease.EraDelay + 2*time.Second
	// causePaused is logged as the cause if the process or the machine did not run.
	causePaused jydiscovery.Cause = "Paused"
)

// keyLease is the instance's lease to serve requests with keys. It implements jyproxy.KeyLease.
type keyLease struct {
	now func() jylease.Instant
	// bound is the revocation bound.
	bound time.Duration
	// cause returns why proofs are missing. It is called without mu, since renew is called by the service that it asks.
	cause func() jydiscovery.Cause

	mu    sync.Mutex
	lease *jylease.Lease
	// lostAt is when the lease was first found to have ended; valid only if isLost is set. At the start a lease is not lost yet.
	lostAt jylease.Instant
	isLost bool
	// started and lastCheck are when the lease was created, and last checked for the log.
	started, lastCheck jylease.Instant
}

// makeKeyLease creates the key lease if a revocation bound is set.
func (n *Node) makeKeyLease() {
	if n.settings.RevocationBound > 0 {
		n.keyLease = newKeyLease(n.settings.RevocationBound, jyclock.Now, n.proofCause)
	}
}

func newKeyLease(bound time.Duration, now func() jylease.Instant, cause func() jydiscovery.Cause) *keyLease {
	started := now()
	return &keyLease{now: now, bound: bound, cause: cause, lease: jylease.New(bound), started: started, lastCheck: started}
}

// IsValid reports whether requests with keys may be served now. It depends on no other goroutine, so that the first check after a
// suspension of the machine is right.
func (k *keyLease) IsValid() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.IsValid(k.now())
}

// isStarting reports whether the instance waits for its first proof. After the start it does not matter to the readiness whether the lease
// is valid, since public routes need no lease.
func (k *keyLease) isStarting() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	_, hasProof := k.lease.Age(now)
	return !hasProof && now.Sub(k.started) < maxStart
}

// renew extends the lease to a proof.
func (k *keyLease) renew(p jylease.Proof) {
	cause := k.cause()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	// Requests may have been refused since the last check for the log.
	k.logIfLost(now, cause)
	age, _ := k.lease.Age(now)
	k.lease.Renew(now, p)
	if k.isLost && k.lease.IsValid(now) {
		jylog.KeyLeaseRegained.Log(age.Milliseconds(), now.Sub(k.lostAt).Milliseconds())
		k.isLost = false
	}
}

// Run logs the end of the lease until ctx ends.
func (k *keyLease) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.logLoss()
		}
	}
}

// logLoss checks the lease for the log.
func (k *keyLease) logLoss() {
	cause := k.cause()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.logIfLost(now, cause)
	k.lastCheck = now
}

// logIfLost logs once that the lease has ended, or that there was none within the bound after the start; the caller holds mu.
func (k *keyLease) logIfLost(now jylease.Instant, cause jydiscovery.Cause) {
	if now.Sub(k.lastCheck) > minPause {
		cause = causePaused
	}
	age, hasProof := k.lease.Age(now)
	isStarting := !hasProof && now.Sub(k.started) < k.bound
	if k.isLost || isStarting || k.lease.IsValid(now) {
		return
	}
	k.isLost, k.lostAt = true, now
	jylog.KeyLeaseLost.Log(age.Milliseconds(), cause)
}

// status returns the age of the lease, nil if there was no proof yet, and the time left, both in seconds.
func (k *keyLease) status() (ageSeconds, remainingSeconds *float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	remaining := k.lease.Remaining(now).Seconds()
	age, hasProof := k.lease.Age(now)
	if !hasProof {
		return nil, &remaining
	}
	seconds := age.Seconds()
	return &seconds, &remaining
}
