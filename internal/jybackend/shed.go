package jybackend

import "time"

const (
	// fullTime is how long a server that shed a request is taken to be full, and shedAgainChance how likely it sheds others.
	fullTime        = 200 * time.Millisecond
	shedAgainChance = 0.5
)

func (s *Server) isFull(now time.Time) bool { return now.UnixNano() < s.full.Load() }

// shedChance returns the chance that the server, which holds load requests, sheds another.
func (v *Service) shedChance(now time.Time, s *Server, load float64) float64 {
	v.mu.Lock()
	chance := v.room.ShedChance(load, s.Info.Slots)
	v.mu.Unlock()
	if s.isFull(now) {
		return max(chance, shedAgainChance)
	}
	return chance
}

// RecordShed records that a server shed a request.
func (v *Service) RecordShed(now time.Time, p Placement) {
	p.Server.full.Store(now.Add(fullTime).UnixNano())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.room.RecordShed(p.Load, p.Server.Info.Slots)
}

// noteTaken records that a server worked on a request.
func (v *Service) noteTaken(p Placement) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.room.RecordAccepted(p.Load, p.Server.Info.Slots)
}
