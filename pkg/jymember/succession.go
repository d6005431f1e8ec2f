package jymember

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxSuccessions bounds the chain from a run to the one that holds its duties now.
const maxSuccessions = 64

// AddSuccession records that a run handed its duties over, and passes it on.
func (t *Table) AddSuccession(now time.Time, s Succession) { t.addSuccession(now, s, true) }

func (t *Table) addSuccession(now time.Time, s Succession, news bool) {
	if _, known := t.successions[s.From]; known || s.From == s.To {
		return
	}
	t.successions[s.From] = succession{to: s.To, since: now}
	if news {
		t.spread(fmt.Sprintf("%s/%d", s.From.Name, s.From.Boot), Update{Succession: &s})
	}
}

// ResponsibleFor returns the member that holds the duties of a run now, or false if the run is known to have ended without a successor.
func (t *Table) ResponsibleFor(r Run) (Member, bool) {
	for range maxSuccessions {
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

func (t *Table) forgetSuccessions(now time.Time) {
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
