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

// shedChance returns the chance, from 0 to 1, that the server sheds another request while it holds load requests.
func (v *Service) shedChance(now time.Time, s *Server, load float64) float64 {
	v.mu.Lock()
	chance := v.shedModel.ShedChance(load, s.Info.Slots)
	v.mu.Unlock()
	if s.isFull(now) {
		return max(chance, shedAgainChance)
	}
	return chance
}

// RecordShed records that the server shed the request.
func (v *Service) RecordShed(now time.Time, p Placement) {
	p.Server.fullUntil.Store(now.Add(fullDuration).UnixNano())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shedModel.RecordShed(p.Load, p.Server.Info.Slots)
}

// recordAccepted records that the server accepted the request.
func (v *Service) recordAccepted(p Placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.shedModel.RecordAccepted(p.Load, p.Server.Info.Slots)
}
