package jyplace

import "math"

const (
	// firstRoom is the load, as a multiple of the slots, at which servers are taken to shed while none has.
	firstRoom = 4
	// roomStep is the weight of one observation.
	roomStep = 0.2
	// roomWidth says how sharply servers begin to shed as their load grows, in requests.
	roomWidth = 0.7
)

// ShedModel is the load at which the servers of a service shed requests, learnt from those that they take and shed; the zero
// value has seen none. It is not safe for concurrent use.
type ShedModel struct {
	most  float64 // requests for each slot
	known bool
}

// RecordShed takes that a server which held load requests, as far as was known, shed another.
func (r *ShedModel) RecordShed(load, slots int) {
	if load < slots {
		// It is not full: something else is wrong there.
		return
	}
	if at := r.at(slots); float64(load) < at {
		r.move(float64(load), slots)
	}
}

// RecordAccepted takes that a server which held load requests, as far as was known, worked on another.
func (r *ShedModel) RecordAccepted(load, slots int) {
	if at := r.at(slots); float64(load) >= at {
		r.move(float64(load+1), slots)
	}
}

func (r *ShedModel) move(to float64, slots int) {
	at := r.at(slots)
	r.most, r.known = (at+roomStep*(to-at))/float64(slots), true
}

// at returns the load at which a server of so many slots is as likely to shed as not.
func (r *ShedModel) at(slots int) float64 {
	if !r.known {
		return float64(firstRoom * slots)
	}
	return r.most * float64(slots)
}

// ShedChance returns the chance that a server which holds load requests sheds another.
func (r *ShedModel) ShedChance(load float64, slots int) float64 {
	return 1 / (1 + math.Exp((r.at(slots)-0.5-load)/roomWidth))
}
