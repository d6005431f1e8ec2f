package jybackend

import "time"

const (
	// fullDuration is how long a server that shed a request is assumed to be full. shedAgainChance is the minimum chance, from 0
	// to 1, that it sheds another one in that time.
	fullDuration    = 200 * time.Millisecond
	shedAgainChance = 0.5
)

// isFull reports whether the server shed a request within fullDuration.
func (s *Server) isFull(now time.Time) bool { return now.UnixNano() < s.fullUntil.Load() }

// shedChance returns the chance, from 0 to 1, that the server sheds another request while it holds load requests: because it is
// full, or because the servers of the service are unwilling.
func (v *Service) shedChance(now time.Time, s *Server, load float64) float64 {
	v.mu.Lock()
	full := v.shedModel.ShedChance(load, s.Info.Slots)
	v.mu.Unlock()
	unwilling := v.overload.unwillingChance(now)
	if s.isFull(now) {
		full = max(full, shedAgainChance)
	}
	return 1 - (1-full)*(1-unwilling)
}

// RecordShed records that the server shed the request. It then counts as full for a time, unless the servers of the service are
// unwilling: another one is as likely to shed.
func (v *Service) RecordShed(now time.Time, p Placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shedModel.RecordShed(p.Load, p.Server.Info.Slots)
	if v.byExpectedLoss && p.hasSlot() {
		if v.overload.recordFreeSlot(now, true) {
			return
		}
	}
	p.Server.fullUntil.Store(now.Add(fullDuration).UnixNano())
}

// recordAccepted records that the server accepted the request.
func (v *Service) recordAccepted(now time.Time, p Placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shedModel.RecordAccepted(p.Load, p.Server.Info.Slots)
	if v.byExpectedLoss && p.hasSlot() {
		v.overload.recordFreeSlot(now, false)
	}
}
