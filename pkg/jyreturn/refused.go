package jyreturn

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// Refused is a request that is refused.
type Refused struct {
	Reason jyoutcome.Reason
	// MayHaveRun says that a server may have run the request.
	MayHaveRun bool
	Idempotent bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// kind says what a refused request waits for.
type kind int

const (
	// never is a refusal that no waiting helps.
	never kind = iota
	// passing is a failure that another attempt may not meet.
	passing
	// competing is a request that found no server; the service may have room or be full.
	competing
	// lasting is a failure that is not expected to end within the deadline of the request.
	lasting
)

func (r Refused) kind() kind {
	switch r.Reason {
	case jyoutcome.RequestBlocked:
		return never
	case jyoutcome.NoBackendServer, jyoutcome.DeadlinePassed:
		return lasting
	case jyoutcome.DeclaredNotRun, jyoutcome.Overloaded, jyoutcome.LimitReached:
		if !r.MayHaveRun || r.Idempotent {
			return competing
		}
	}
	if r.MayHaveRun && !r.Idempotent {
		return lasting
	}
	return passing
}
