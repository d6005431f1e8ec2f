package jysoak

import (
	"fmt"
	"slices"
	"time"
)

// checkKeys reports requests that reached a server with a key or another account than that of their key, or that were sent longer than the
// revocation bound after their key was taken away.
func checkKeys(r Record) []Violation {
	requests := map[string]Request{}
	for _, q := range r.Requests {
		requests[q.ID] = q
	}
	var out []Violation
	for _, a := range r.Arrivals {
		q := requests[a.ID]
		if q.Key == 0 {
			continue
		}
		if len(a.Keys) > 0 {
			out = append(out, Violation{"no key reaches a server", fmt.Sprintf("request %s reached server %d with %d keys", q.ID, a.Server, len(a.Keys))})
		}
		if want := []string{accountOf(q.Key)}; !slices.Equal(a.Accounts, want) {
			out = append(out, Violation{"the account of the request", fmt.Sprintf("request %s reached server %d with %q, not %q", q.ID, a.Server, a.Accounts, want)})
		}
		if removed, ok := r.removedBefore(q); ok && q.Sent > removed+revocationBound {
			out = append(out, Violation{"no revoked key after the bound", fmt.Sprintf(
				"request %s, sent at %.2f s to instance %d, reached server %d at %.2f s; key %d was taken away at %.2f s",
				q.ID, q.Sent.Seconds(), q.Instance, a.Server, a.At.Seconds(), q.Key, removed.Seconds())})
		}
	}
	return out
}

// removedBefore returns when the key of a request was taken away for the last time before it was sent, and false if it was not. A store
// that shows an older version has not taken away the key until it shows the newest one again.
func (r Record) removedBefore(q Request) (at time.Duration, ok bool) {
	if q.Key == 0 || q.Key > len(r.KeysRemoved) || r.KeysRemoved[q.Key-1] > q.Sent {
		return 0, false
	}
	at = r.KeysRemoved[q.Key-1]
	for _, s := range r.Plan {
		if s.Kind == OldVersionPut && s.At <= q.Sent && s.End() >= at {
			at = s.End() + putTime
		}
	}
	return at, at <= q.Sent
}

// putTime is how long after its planned end a step may still write to the store.
const putTime = 100 * time.Millisecond

// losesKey reports whether the key of a request is taken away before the request ends, so that it may be refused.
func (r Record) losesKey(q Request) bool {
	return q.Key > 0 && q.Key <= len(r.KeysRemoved) && r.KeysRemoved[q.Key-1] <= q.Ended
}
