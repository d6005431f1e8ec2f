package jyquota

import "time"

// Statement is what a backend server said in an answer about its limit. The zero value stands for a server that said nothing.
type Statement struct {
	// IsLimited says that the server stated Limit, which counts for all instances together; otherwise it stated that there is none.
	IsLimited bool
	Limit     Rate
	// At is when the answer with the limit arrived. For an answer without a limit it is when the request was sent, since answers
	// may overtake each other: one without a limit ends a limit only if its request was sent after the limit was known.
	At time.Time
	// Version orders the statements about one server among instances, by what each knew when it made its own: it rises with each
	// change. It is 0 for a server that said nothing, and for a statement of a build that doesn't state versions.
	Version uint64
	// IsOwn says that this instance got the answer itself, so that At is exact. A statement that another instance passed on may be
	// older than At, since the message may have waited unread.
	IsOwn bool
}

// Order is how a statement that another instance passed on relates to the known one.
type Order int

// The orders.
const (
	// Same says that both state the same.
	Same Order = iota
	// Newer says that the statement replaces the known one.
	Newer
	// Older says that the known statement stays and the other instance should be told of it.
	Older
	// Crossing says that the known statement stays, but both may have been on their way at the same time.
	Crossing
)

// outdatedAfter is how much older than another one a statement without a version must be to count as outdated: closer ones may cross.
const outdatedAfter = time.Second

// OrderOf returns how a statement that another instance passed on relates to s, the known one. It depends on when the message was
// read only for statements without a version.
func (s Statement) OrderOf(told Statement) Order {
	switch {
	case told.Version == 0 && told.Supersedes(s):
		return Newer
	case told.Version == 0 && !told.IsSameLimit(s) && s.At.Sub(told.At) > outdatedAfter:
		return Older
	case told.Version == 0:
		return Crossing
	case told.IsSameLimit(s):
		return Same
	case told.Version > s.Version && s.IsOwn && told.At.Before(s.At):
		// The other instance knows more changes than this one, but its last one is surely from before this instance's answer.
		return Older
	case told.Version > s.Version:
		return Newer
	case told.Version < s.Version:
		return Older
	case told.precedes(s):
		return Newer
	}
	return Crossing
}

// Merge returns what is known after another instance passed on the statement told, and how told relates to s, which was known before.
func (s Statement) Merge(told Statement) (Statement, Order) {
	order := s.OrderOf(told)
	switch order {
	case Newer:
		if told.Version == 0 && !told.IsSameLimit(s) {
			// A change that a build without versions passes on is a change like others.
			told.Version = s.Version + 1
		}
		told.Version = max(told.Version, s.Version)
		return told, order
	case Older:
		if told.Version > s.Version {
			s.Version = told.Version + 1
		}
	case Same:
		s.Version = max(s.Version, told.Version)
		if told.At.After(s.At) {
			s.At, s.IsOwn = told.At, false
		}
	}
	return s, order
}

// precedes decides between two changes that instances made at the same time, so that all choose the same one: the lower limit holds
// until the next answer.
func (s Statement) precedes(other Statement) bool {
	if s.IsLimited != other.IsLimited {
		return s.IsLimited
	}
	return s.Limit < other.Limit
}

// Supersedes reports whether s replaces old as the last statement of the same server. At the same time, a limit takes precedence.
func (s Statement) Supersedes(old Statement) bool {
	if s.At.Equal(old.At) {
		return s.IsLimited && !old.IsLimited
	}
	return s.At.After(old.At)
}

// IsSameLimit reports whether both statements state the same limit, or none.
func (s Statement) IsSameLimit(other Statement) bool {
	return s.IsLimited == other.IsLimited && s.Limit == other.Limit
}
