package jyexperiment

import "time"

// How long the alternating healthy and gray phases of a server last, as a minimum plus an exponentially distributed extra time,
// and how the server fails requests.
const (
	minHealthyTime       = 10 * time.Second
	meanExtraHealthyTime = 12 * time.Second
	minGrayTime          = 4 * time.Second
	meanExtraGrayTime    = 5 * time.Second
	// grayFailureRate is the chance that a gray server fails a request early, which means without serving it. The failure takes
	// grayFailureDelay.
	grayFailureRate  = 0.9
	grayFailureDelay = 3 * time.Millisecond
	// lateFailureRate is the chance that a server without an active PlacementFault fails a request after it has served it.
	lateFailureRate = 0.012
)

// startPhases starts the server at a random point of a healthy or a gray phase.
func (s *placementSim) startPhases(v *placementServer) {
	healthy, gray := minHealthyTime+meanExtraHealthyTime, minGrayTime+meanExtraGrayTime
	v.isGray = s.random.Float64() < float64(gray)/float64(gray+healthy)
	remaining := time.Duration(s.random.Float64() * float64(s.phaseDuration(v.isGray)))
	s.after(remaining, func() { s.toggleGray(v) })
}

// phaseDuration draws the duration of a gray or a healthy phase.
func (s *placementSim) phaseDuration(isGray bool) time.Duration {
	minTime, meanExtra := minHealthyTime, meanExtraHealthyTime
	if isGray {
		minTime, meanExtra = minGrayTime, meanExtraGrayTime
	}
	return minTime + time.Duration(s.random.ExpFloat64()*float64(meanExtra))
}

// toggleGray changes the server from healthy to gray or back, and schedules the next change. It does nothing after RunDuration.
func (s *placementSim) toggleGray(v *placementServer) {
	if s.now > s.config.RunDuration {
		return
	}
	v.isGray = !v.isGray
	s.after(s.phaseDuration(v.isGray), func() { s.toggleGray(v) })
}
