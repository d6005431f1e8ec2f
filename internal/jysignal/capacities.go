package jysignal

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

const (
	// capacityInterval is the time between two statements of the data centre's capacity.
	capacityInterval = time.Second
	// maxCapacitiesPerSignal bounds the capacities in one datagram, so that it is not fragmented.
	maxCapacitiesPerSignal = 60
)

// sendCapacities states the capacity of this data centre for each service to one instance of each other data centre, which passes it
// on there. It does so every capacityInterval, and only where traffic between data centres has a price.
func (s *Signals) sendCapacities(now time.Time) {
	if now.Sub(s.capacitiesSentAt) < capacityInterval {
		return
	}
	s.capacitiesSentAt = now
	var list []*jywire.ServiceCapacity
	for _, v := range s.config.Directory.Snapshot().Services() {
		if slots, load, ok := v.SpareCapacity(now); ok {
			list = append(list, toServiceCapacity(v.Hash(), slots, load))
		}
	}
	for part := range slices.Chunk(list, maxCapacitiesPerSignal) {
		m := s.newSignal()
		m.Capacities, m.Forward = part, true
		for _, to := range s.peers.relays(1) {
			s.sendTo(m, to)
		}
	}
}

// toServiceCapacity rounds to the side on which other data centres send less.
func toServiceCapacity(service uint64, slots, load float64) *jywire.ServiceCapacity {
	return &jywire.ServiceCapacity{Service: service, Slots: uint32(max(0, slots)), Load: uint32(math.Ceil(max(0, load)))}
}

// applyCapacities applies the capacities in a signal of another data centre.
func applyCapacities(now time.Time, snapshot *jybackend.Snapshot, m *jywire.Signal) {
	for _, c := range m.GetCapacities() {
		snapshot.ApplyRemoteCapacity(now, c.GetService(), jynote.DataCentreName(m.GetDataCentre()), float64(c.GetSlots()), float64(c.GetLoad()))
	}
}
