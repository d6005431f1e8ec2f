package jymember

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxSuccessionChain bounds the number of successions that Owner follows, in case they form a cycle.
const maxSuccessionChain = 64

// AddSuccession records a succession and gossips it. A run's second succession is ignored.
func (t *Table) AddSuccession(now time.Time, s Succession) { t.addSuccession(now, s, true) }

// addSuccession is AddSuccession; gossip is false if the succession came in a full state.
func (t *Table) addSuccession(now time.Time, s Succession, gossip bool) {
	if _, known := t.successions[s.From]; known || s.From == s.To {
		return
	}
	t.successions[s.From] = succession{to: s.To, since: now}
	if gossip {
		t.enqueue(fmt.Sprintf("%s/%d", s.From.Name, s.From.Boot), Update{Succession: &s})
	}
}

// Owner returns the member that owns the request ids of a run now: its last successor, or the run itself. It returns false if that
// is not a known member, or if the member has another boot, which means that the run has ended without a successor.
func (t *Table) Owner(r Run) (Member, bool) {
	for range maxSuccessionChain {
		s, ok := t.successions[r]
		if !ok {
			break
		}
		r = s.to
	}
	m, ok := t.Find(r.Name)
	if !ok || (m.Boot != 0 && m.Boot != r.Boot) {
		return Member{}, false
	}
	return m, true
}

func (t *Table) expireSuccessions(now time.Time) {
	for r, s := range t.successions {
		if now.Sub(s.since) > t.config.SuccessionRetention {
			delete(t.successions, r)
		}
	}
}

func (t *Table) sortedSuccessions() []Succession {
	out := make([]Succession, 0, len(t.successions))
	for from, s := range t.successions {
		out = append(out, Succession{From: from, To: s.to})
	}
	slices.SortFunc(out, func(a, b Succession) int {
		return cmp.Or(cmp.Compare(a.From.Name, b.From.Name), cmp.Compare(a.From.Boot, b.From.Boot))
	})
	return out
}
