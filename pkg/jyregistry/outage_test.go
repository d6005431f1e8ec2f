package jyregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jyregistry"
)

// Guards against an outage that counts until the next change, so that a server that leaves long after it is kept as lapsed.
func TestAnswerWithoutChangesEndsAnOutage(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil), registration("b", nil)})
	r.MarkStoreUnavailable()
	recovered := start.Add(time.Minute)
	r.Apply(recovered, nil)
	left := recovered.Add(gracePeriod)
	r.Apply(left, []jyregistry.Event{jyregistry.Removed("a")})
	assert.Equal(t, []string{"b"}, ids(r))
}

// Guards against a lapsed server that stays in use for good, since the end of a second outage is not noticed.
func TestLapsedServerIsRemovedAfterAnOutageThatEndsWithoutChanges(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []jyregistry.Registration{registration("a", nil), registration("b", nil)})
	r.MarkStoreUnavailable()
	r.Apply(start.Add(time.Second), []jyregistry.Event{jyregistry.Removed("a")})
	r.MarkStoreUnavailable()
	recovered := start.Add(time.Minute)
	r.Apply(recovered, nil)
	assert.Equal(t, []string{"a", "b"}, ids(r), "it may register again within the grace period")
	assert.True(t, r.Expire(recovered.Add(gracePeriod)))
	assert.Equal(t, []string{"b"}, ids(r))
}

// storeAnswer is an answer of the store in a history, or a failed read.
type storeAnswer struct {
	at     time.Time
	failed bool
	events []jyregistry.Event
}

// endOfOutage returns when the last outage before an answer ended: at the first answer after the last failure.
func endOfOutage(history []storeAnswer, until int) (time.Time, bool) {
	for i := until; i >= 0; i-- {
		if !history[i].failed {
			continue
		}
		if i == until {
			return time.Time{}, false
		}
		return history[i+1].at, true
	}
	return time.Time{}, false
}

// isInUse says by the pages' rules whether a server is in use after a history that ends with an answer: it is registered, or it was
// removed within the grace period after an outage, and that period is not over.
func isInUse(history []storeAnswer, id jyregistry.ID) bool {
	registered, known, removedIn := false, false, 0
	for i, a := range history {
		for _, e := range a.events {
			switch {
			case e.ID != id:
			case e.Registration != nil:
				registered, known = true, true
			case registered:
				registered, removedIn = false, i
			}
		}
	}
	if registered || !known {
		return registered
	}
	ended, wasOutage := endOfOutage(history, removedIn)
	if !wasOutage || !history[removedIn].at.Before(ended.Add(gracePeriod)) {
		return false
	}
	for i := removedIn; i < len(history); i++ {
		ended, _ := endOfOutage(history, i)
		if !history[i].failed && !history[i].at.Before(ended.Add(gracePeriod)) {
			return false
		}
	}
	return true
}

// Guards against servers that are kept or dropped by an outage whose begin or end was missed.
func TestServersInUseAroundOutagesAgreeWithTheHistory(t *testing.T) {
	servers := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistry()
		var history []storeAnswer
		sequence := int64(0)
		now := start
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "tenths")) * 100 * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
				r.MarkStoreUnavailable()
				history = append(history, storeAnswer{at: now, failed: true})
				continue
			}
			a := storeAnswer{at: now}
			for range rapid.IntRange(0, 2).Draw(t, "events") {
				id := rapid.SampledFrom(servers).Draw(t, "id")
				if rapid.Bool().Draw(t, "removed") {
					a.events = append(a.events, jyregistry.Removed(jyregistry.ID(id)))
					continue
				}
				sequence++
				a.events = append(a.events, jyregistry.Registered(registration(id, func(v *jyregistry.Registration) { v.Sequence = sequence })))
			}
			r.Apply(now, a.events)
			r.Expire(now)
			history = append(history, a)
			want := []string{}
			for _, id := range servers {
				if isInUse(history, jyregistry.ID(id)) {
					want = append(want, id)
				}
			}
			require.Equal(t, want, ids(r), "history %+v", history)
		}
	})
}
