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
