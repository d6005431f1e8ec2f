package jylease

// Era numbers the histories of a store: it rises each time the store comes back from a copy, and is 0 if the store states none.
type Era uint64

// Proof states that everything that the store had acknowledged by an instant is applied.
type Proof struct {
	Era Era
	// At is the start of the call to the store whose answer is the proof, or an earlier instant.
	At Instant
}
