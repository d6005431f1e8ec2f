package jydedup

import "github.com/jackdawyard/jackdawyard/pkg/jyoutcome"

// Fingerprint is a digest of a request's method, path and body.
type Fingerprint [32]byte

// Action says what the process that asked a Ledger must do.
type Action string

// The actions.
const (
	Start   Action = "Start"   // run the request now, and call Finish
	Join    Action = "Join"    // it runs already: wait for its Result
	Replay  Action = "Replay"  // it has ended: answer with Result
	Refuse  Action = "Refuse"  // answer with Result; nothing was run under this call
	Forward Action = "Forward" // another process decides
)

// Answer is a finished answer, kept for resends.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Result is the final result of an id.
type Result struct {
	Outcome jyoutcome.Outcome
	Reason  jyoutcome.Reason // empty when Outcome is Complete
	Answer  *Answer          // nil when refused, or too large to keep
}

// Decision is what a Ledger answers to Begin.
type Decision struct {
	Action Action
	Result Result
}
