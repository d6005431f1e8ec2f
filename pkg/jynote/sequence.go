package jynote

import (
	"slices"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Verdict says what became of a note that was offered to a Sequence.
type Verdict string

// The verdicts on an offered note.
const (
	Applied  Verdict = "Applied"  // now in force
	Known    Verdict = "Known"    // the same bytes were seen before
	Waiting  Verdict = "Waiting"  // a lower number is missing
	Refused  Verdict = "Refused"  // invalid; the state in force is untouched
	Conflict Verdict = "Conflict" // other content under a number already used
	Stale    Verdict = "Stale"    // older than what is in force
)

// Refusal records a note that was not put in force.
type Refusal struct {
	Number  Number
	Digest  Digest
	Verdict Verdict
	Reason  string
}

// Sequence limits.
const (
	MaxWaitingNotes = 64
	MaxRefusals     = 32
	MaxDigests      = 1024
	// MaxRecentNotes bounds the notes that are kept for peers, by number and by size.
	MaxRecentNotes     = 64
	MaxRecentNoteBytes = 256 << 10
)

// Sequence puts release notes in force in the order of their numbers and never goes back; it is not safe for concurrent use.
type Sequence struct {
	state     State
	digests   map[Number]Digest // of notes seen, the latest MaxDigests numbers
	waiting   map[Number][]byte
	recent    map[Number][]byte // notes in force or refused, the latest MaxRecent numbers
	conflicts []Refusal
}

// NewSequence returns a sequence with nothing in force.
func NewSequence() *Sequence {
	return &Sequence{digests: map[Number]Digest{}, waiting: map[Number][]byte{}, recent: map[Number][]byte{}}
}

// State returns what is in force.
func (s *Sequence) State() State { return s.state }

// PublishedNote is a note as it was published.
type PublishedNote struct {
	Number Number
	Raw    []byte
}

// NotesAfter returns the notes that lead from above to the state in force, or false if some are no longer kept.
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

// Conflicts returns the latest notes that came with other content under a number already seen, oldest first.
func (s *Sequence) Conflicts() []Refusal { return slices.Clone(s.conflicts) }

// Offer takes the bytes published under number n and puts them, and all notes that waited for them, in force.
func (s *Sequence) Offer(n Number, raw []byte) (Verdict, error) {
	if v, err := s.compare(n, DigestOf(raw)); v != "" {
		return v, err
	}
	note, parseErr := Parse(raw)
	isBase := parseErr == nil && note.Base
	if n > s.state.Number+1 && !isBase {
		return s.wait(n, raw)
	}
	if err := s.apply(n, raw); err != nil {
		s.applyWaiting()
		return Refused, err
	}
	s.applyWaiting()
	return Applied, nil
}

// Adopt takes a peer's state if it is newer than the one in force, and reports whether it did.
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

// compare returns a verdict if the number alone decides it.
func (s *Sequence) compare(n Number, d Digest) (Verdict, error) {
	seen, ok := s.digests[n]
	if ok && seen == d {
		return Known, nil
	}
	if ok {
		err := jyfault.New("offer release note", OutOfOrder, "number %d was published with content %s before, and now with %s", n, seen, d)
		s.conflicts = remember(s.conflicts, Refusal{Number: n, Digest: d, Verdict: Conflict, Reason: err.Error()})
		return Conflict, err
	}
	if n <= s.state.Number {
		return Stale, nil
	}
	return "", nil
}

func (s *Sequence) wait(n Number, raw []byte) (Verdict, error) {
	if len(s.waiting) >= MaxWaitingNotes {
		return Waiting, jyfault.New("offer release note", OutOfOrder, "%d notes wait for number %d already", len(s.waiting), s.state.Number+1)
	}
	s.note(n, DigestOf(raw))
	s.waiting[n] = slices.Clone(raw)
	return Waiting, nil
}

func (s *Sequence) apply(n Number, raw []byte) error {
	s.note(n, DigestOf(raw))
	s.keep(n, raw)
	next, err := follow(s.state, n, raw)
	if err != nil {
		s.skip(Refusal{Number: n, Digest: DigestOf(raw), Verdict: Refused, Reason: err.Error()})
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

func follow(s State, n Number, raw []byte) (State, error) {
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

// skip lets the next number follow a refused one: every instance refuses the same content, so all skip alike.
func (s *Sequence) skip(r Refusal) {
	if r.Number == s.state.Number+1 {
		s.state.Number = r.Number
		s.state.Refused = remember(s.state.Refused, r)
	}
}

func (s *Sequence) applyWaiting() {
	for {
		n := s.state.Number + 1
		raw, ok := s.waiting[n]
		if !ok {
			return
		}
		delete(s.waiting, n)
		// A refusal is recorded by apply and does not stop the notes behind it.
		_ = s.apply(n, raw)
	}
}

// keep holds a note for peers that lack it; a large one is cheaper to pass on as part of the whole state.
func (s *Sequence) keep(n Number, raw []byte) {
	delete(s.recent, n-min(n, MaxRecentNotes))
	if len(raw) <= MaxRecentNoteBytes/MaxRecentNotes {
		s.recent[n] = slices.Clone(raw)
	}
}

func (s *Sequence) note(n Number, d Digest) {
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

// remember returns a new list with r at its end, unless it is there already.
func remember(list []Refusal, r Refusal) []Refusal {
	if slices.Contains(list, r) {
		return list
	}
	return append(slices.Clone(list[max(0, len(list)-MaxRefusals+1):]), r)
}
