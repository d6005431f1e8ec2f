package jyplace

import "math"

const (
	// initialLoadPerSlot is the assumed shed threshold, in requests per slot, until an observation contradicts it.
	initialLoadPerSlot = 4
	// learningRate is the weight of one observation.
	learningRate = 0.2
	// transitionWidth is the scale, in requests, of the logistic curve from accepting to shedding.
	transitionWidth = 0.7
)

// ShedModel estimates the load at which the servers of a service shed requests, from the requests that they accept and shed. A
// load is a number of requests at one server, and does not include the request in question.
// The zero value has no observations. It is not safe for concurrent use.
type ShedModel struct {
	loadPerSlot float64 // the learned shed threshold, in requests per slot
	known       bool    // loadPerSlot is set
}

// RecordShed records that a server shed a request while it held load requests, as far as known. A load below slots is ignored.
func (m *ShedModel) RecordShed(load, slots int) {
	if load < slots {
		// The server had a free slot, so the load isn't the cause.
		return
	}
	if threshold := m.threshold(slots); float64(load) < threshold {
		m.adjust(float64(load), slots)
	}
}

// RecordAccepted records that a server accepted a request while it held load requests, as far as known.
func (m *ShedModel) RecordAccepted(load, slots int) {
	if threshold := m.threshold(slots); float64(load) >= threshold {
		m.adjust(float64(load+1), slots)
	}
}

// adjust moves the shed threshold towards the observed one, in requests at a server with that many slots.
func (m *ShedModel) adjust(observed float64, slots int) {
	threshold := m.threshold(slots)
	m.loadPerSlot, m.known = (threshold+learningRate*(observed-threshold))/float64(slots), true
}

// threshold returns the load from which on a server with that many slots is more likely to shed the next request than not.
func (m *ShedModel) threshold(slots int) float64 {
	if !m.known {
		return float64(initialLoadPerSlot * slots)
	}
	return m.loadPerSlot * float64(slots)
}

// ShedChance returns the chance, from 0 to 1, that a server that holds load requests sheds another.
func (m *ShedModel) ShedChance(load float64, slots int) float64 {
	// A server with one request below the threshold accepts and one at the threshold sheds, so half-way the chance is 0.5.
	return 1 / (1 + math.Exp((m.threshold(slots)-0.5-load)/transitionWidth))
}
