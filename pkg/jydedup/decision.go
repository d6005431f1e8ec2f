package jydedup

import "github.com/jackdawyard/jackdawyard/pkg/jyoutcome"

// Fingerprint is a digest of what a resend must repeat, such as method, path and body.
type Fingerprint [32]byte

// Action says what the caller of Begin must do with the request.
type Action string

// The actions that Begin returns.
const (
	Start   Action = "Start"   // run the request now, and call Finish
	Join    Action = "Join"    // the request is running: wait for its result
	Replay  Action = "Replay"  // the request has ended: answer with Result
	Refuse  Action = "Refuse"  // answer with Result; this call ran nothing
	Forward Action = "Forward" // another process owns the id
)

// Answer is a complete HTTP answer that is kept for resends.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Result is the final result of the request of an id.
type Result struct {
	Outcome jyoutcome.Outcome
	Reason  jyoutcome.Reason // empty when Outcome is Complete
	Answer  *Answer          // nil if there was none or it is not kept
}

// Decision is the answer of a Ledger to Begin; Result is set if the action is Replay or Refuse.
type Decision struct {
	Action Action
	Result Result
}
