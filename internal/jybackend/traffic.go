package jybackend

import "sync/atomic"

// Traffic counts requests of a service that this instance sent to servers.
type Traffic struct {
	Requests uint64 // attempts at servers of any data centre
	// RemoteRequests and RemoteBytes are the attempts at servers of other data centres, and the bytes of these requests and of their
	// answers.
	RemoteRequests uint64
	RemoteBytes    uint64
}

type trafficCounters struct {
	requests, remoteRequests, remoteBytes atomic.Uint64
}

// TakeTraffic returns the traffic since the last call.
func (v *Service) TakeTraffic() Traffic {
	c := v.traffic
	return Traffic{
		Requests: c.requests.Swap(0), RemoteRequests: c.remoteRequests.Swap(0), RemoteBytes: c.remoteBytes.Swap(0),
	}
}

// RecordTransfer records the number of bytes of a request to the server and of its answer.
func (v *Service) RecordTransfer(s *Server, n int64) {
	v.distance.recordBytes(n)
	if !v.isLocal(s) {
		v.traffic.remoteBytes.Add(uint64(max(0, n)))
	}
}

// countSent counts a request to the server.
func (v *Service) countSent(s *Server) {
	v.traffic.requests.Add(1)
	if !v.isLocal(s) {
		v.traffic.remoteRequests.Add(1)
	}
}
