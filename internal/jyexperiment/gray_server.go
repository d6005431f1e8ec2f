package jyexperiment

import "time"

// How long a server stays healthy or gray (a minimum and an exponentially distributed extra time), and how it fails requests.
const (
	minHealthyTime       = 10 * time.Second
	meanExtraHealthyTime = 12 * time.Second
	minGrayTime          = 4 * time.Second
	meanExtraGrayTime    = 5 * time.Second
	// grayFailureRate is the chance that a gray server fails a request early, which takes grayFailureDelay.
	grayFailureRate  = 0.9
	grayFailureDelay = 3 * time.Millisecond
	// lateFailureRate is the chance that a server fails a request after it has served it.
	lateFailureRate = 0.012
)

// startPhases starts the server partway through a healthy or a gray phase.
func (s *placementSim) startPhases(v *placementServer) {
	healthy, gray := minHealthyTime+meanExtraHealthyTime, minGrayTime+meanExtraGrayTime
	v.isGray = s.random.Float64() < float64(gray)/float64(gray+healthy)
	remaining := time.Duration(s.random.Float64() * float64(s.phaseDuration(v.isGray)))
	s.after(remaining, func() { s.toggleGray(v) })
}

func (s *placementSim) phaseDuration(isGray bool) time.Duration {
	minTime, meanExtra := minHealthyTime, meanExtraHealthyTime
	if isGray {
		minTime, meanExtra = minGrayTime, meanExtraGrayTime
	}
	return minTime + time.Duration(s.random.ExpFloat64()*float64(meanExtra))
}

func (s *placementSim) toggleGray(v *placementServer) {
	if s.now > s.config.RunDuration {
		return
	}
	v.isGray = !v.isGray
	s.after(s.phaseDuration(v.isGray), func() { s.toggleGray(v) })
}
