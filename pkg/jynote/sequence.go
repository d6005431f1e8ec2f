package jynote

import (
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Verdict is the result of offering a note to a Sequence.
type Verdict string

// The verdicts on an offered note.
const (
	Applied  Verdict = "Applied"  // now part of the state
	Known    Verdict = "Known"    // the same bytes were seen before
	Waiting  Verdict = "Waiting"  // a lower number is missing
	Refused  Verdict = "Refused"  // invalid; no part of it is applied
	Conflict Verdict = "Conflict" // other content under a number already used
	Stale    Verdict = "Stale"    // not above the current number
)

// Refusal records a note that was refused or in conflict.
type Refusal struct {
	Number  Number
	Digest  Digest
	Verdict Verdict
	Reason  string
}

// Limits of a Sequence.
const (
	MaxWaitingNotes = 64   // notes that wait for a lower number
	MaxRefusals     = 32   // refusals in a State, and conflicts in a Sequence
	MaxDigests      = 1024 // digests that are kept to detect conflicts
	// MaxRecentNotes and MaxRecentNoteBytes bound the number and the total size of consecutive notes that are kept for peers.
	MaxRecentNotes     = 64
	MaxRecentNoteBytes = 256 << 10
)

// Sequence applies release notes in the order of their numbers; the current number never decreases. It is not safe for
// concurrent use.
type Sequence struct {
	state     State
	digests   map[Number]Digest // of notes seen, the latest MaxDigests numbers
	waiting   map[Number][]byte
	recent    map[Number][]byte // applied or refused notes for peers, without large ones
	conflicts []Refusal
}

// NewSequence returns a sequence with an empty state.
func NewSequence() *Sequence {
	return &Sequence{digests: map[Number]Digest{}, waiting: map[Number][]byte{}, recent: map[Number][]byte{}}
}

// State returns the current state. A sequence without notes has the zero State.
func (s *Sequence) State() State { return s.state }

// PublishedNote is the JSON of a note and the number under which it was published.
type PublishedNote struct {
	Number Number
	Raw    []byte
}

// NotesAfter returns the notes that lead from number above to the current state, or false if some of them are not kept.
func (s *Sequence) NotesAfter(above Number) ([]PublishedNote, bool) {
	var out []PublishedNote
	for n := above + 1; n <= s.state.Number; n++ {
		raw, ok := s.recent[n]
		if !ok {
			return nil, false
		}
		out = append(out, PublishedNote{Number: n, Raw: raw})
	}
	return out, true
}

// Conflicts returns the latest notes that had other content than an earlier note of the same number, oldest first.
func (s *Sequence) Conflicts() []Refusal { return slices.Clone(s.conflicts) }

// Offer applies the note published under number n if it is the next one or a newer base note, and then all notes that waited
// for it. With Refused comes an error of kind Malformed or Invalid, and with Conflict one of kind OutOfOrder. If MaxWaitingNotes
// notes wait already, a note that would wait too is dropped, and Waiting comes with an error of kind OutOfOrder.
func (s *Sequence) Offer(n Number, raw []byte) (Verdict, error) {
	if v, err := s.earlyVerdict(n, DigestOf(raw)); v != "" {
		return v, err
	}
	note, parseErr := Parse(raw)
	isBase := parseErr == nil && note.Base
	if n > s.state.Number+1 && !isBase {
		return s.addWaiting(n, raw)
	}
	if err := s.apply(n, raw); err != nil {
		s.applyWaiting()
		return Refused, err
	}
	s.applyWaiting()
	return Applied, nil
}

// Adopt replaces the current state by a peer's if that has a higher number, and reports whether it did.
func (s *Sequence) Adopt(other State) bool {
	if other.Number <= s.state.Number {
		return false
	}
	s.state = other
	for n := range s.waiting {
		if n <= other.Number {
			delete(s.waiting, n)
		}
	}
	s.applyWaiting()
	return true
}

// earlyVerdict returns a verdict if the number and the digest decide it without the content, else "".
func (s *Sequence) earlyVerdict(n Number, d Digest) (Verdict, error) {
	seen, ok := s.digests[n]
	if ok && seen == d {
		return Known, nil
	}
	if ok {
		err := jyfault.New("offer release note", OutOfOrder,
			"number %d was published with content %s before, and now with %s", n, seen, d)
		s.conflicts = appendRefusal(s.conflicts, Refusal{Number: n, Digest: d, Verdict: Conflict, Reason: err.Error()})
		return Conflict, err
	}
	if n <= s.state.Number {
		return Stale, nil
	}
	return "", nil
}

func (s *Sequence) addWaiting(n Number, raw []byte) (Verdict, error) {
	if len(s.waiting) >= MaxWaitingNotes {
		return Waiting, jyfault.New("offer release note", OutOfOrder,
			"%d notes wait for number %d already", len(s.waiting), s.state.Number+1)
	}
	s.recordDigest(n, DigestOf(raw))
	s.waiting[n] = slices.Clone(raw)
	return Waiting, nil
}

// apply applies the note to the state and drops the waiting notes up to its number, or records its refusal.
func (s *Sequence) apply(n Number, raw []byte) error {
	s.recordDigest(n, DigestOf(raw))
	s.keepForPeers(n, raw)
	next, err := parseAndApply(s.state, n, raw)
	if err != nil {
		s.skipRefused(Refusal{Number: n, Digest: DigestOf(raw), Verdict: Refused, Reason: err.Error()})
		return err
	}
	s.state = next
	for w := range s.waiting {
		if w <= next.Number {
			delete(s.waiting, w)
		}
	}
	return nil
}

// parseAndApply returns the state after the note, or an error of kind Malformed or Invalid if the note must be refused.
func parseAndApply(s State, n Number, raw []byte) (State, error) {
	note, err := Parse(raw)
	if err != nil {
		return s, err
	}
	if note.Number != n {
		return s, jyfault.New("apply release note", Invalid, "the note says number %d and was published under %d", note.Number, n)
	}
	next, fs := Apply(s, note, raw)
	if len(fs) > 0 {
		return s, jyfault.New("apply release note", Invalid, "%w", fs)
	}
	return next, nil
}

// skipRefused counts a refused note as applied if it is the next one, so that later notes can follow. Every instance refuses the
// same content, so all skip the same notes.
func (s *Sequence) skipRefused(r Refusal) {
	if r.Number == s.state.Number+1 {
		s.state.Number = r.Number
		s.state.Refused = appendRefusal(s.state.Refused, r)
	}
}

// applyWaiting applies the waiting notes that follow the current number without a gap.
func (s *Sequence) applyWaiting() {
	for {
		n := s.state.Number + 1
		raw, ok := s.waiting[n]
		if !ok {
			return
		}
		delete(s.waiting, n)
		// apply records a refusal, which does not stop later notes.
		_ = s.apply(n, raw)
	}
}

// keepForPeers keeps a note for peers that lack it, unless it is large: peers then get the whole state, which is cheaper.
func (s *Sequence) keepForPeers(n Number, raw []byte) {
	delete(s.recent, n-min(n, MaxRecentNotes))
	if len(raw) <= MaxRecentNoteBytes/MaxRecentNotes {
		s.recent[n] = slices.Clone(raw)
	}
}

// recordDigest keeps the digest of note n to detect conflicts. Beyond MaxDigests, it drops those of numbers that are MaxDigests
// or more below n.
func (s *Sequence) recordDigest(n Number, d Digest) {
	s.digests[n] = d
	if len(s.digests) <= MaxDigests {
		return
	}
	for k := range s.digests {
		if k+MaxDigests <= n {
			delete(s.digests, k)
		}
	}
}

// appendRefusal returns a new list with r at its end and at most MaxRefusals entries, or the same list if it contains r.
func appendRefusal(list []Refusal, r Refusal) []Refusal {
	if slices.Contains(list, r) {
		return list
	}
	return append(slices.Clone(list[max(0, len(list)-MaxRefusals+1):]), r)
}
