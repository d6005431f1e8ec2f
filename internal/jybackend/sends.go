package jybackend

import "sync/atomic"

// SendKind says why a request was sent to a server.
type SendKind int

// The kinds of sends.
const (
	// FirstSend is the first attempt of a request.
	FirstSend SendKind = iota
	// TrialSend is an attempt at a server of which a trial was due.
	TrialSend
	// RetrySend is an attempt after another one failed.
	RetrySend
	// CopySend is a second copy of an attempt, on a new connection to the same server.
	CopySend
	sendKinds
)

// Sends holds numbers of requests by SendKind.
type Sends [sendKinds]uint64

type sendCounters [sendKinds]atomic.Uint64

// CountSend counts a request that this instance sends to the server.
func (s *Server) CountSend(k SendKind) { s.sends[k].Add(1) }

// TakeSends returns the requests that this instance sent to the server since the last call.
func (s *Server) TakeSends() Sends {
	var out Sends
	for k := range s.sends {
		out[k] = s.sends[k].Swap(0)
	}
	return out
}
