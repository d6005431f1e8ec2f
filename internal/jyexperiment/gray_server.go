package jyexperiment

import "time"

// How servers turn gray and recover, and how they fail requests.
const (
	leastWell     = 10 * time.Second
	moreWell      = 12 * time.Second // mean, beyond the least
	leastGray     = 4 * time.Second
	moreGray      = 5 * time.Second // mean, beyond the least
	grayFailure   = 0.9
	grayFailTime  = 3 * time.Millisecond
	honestFailure = 0.012
)

func (s *placingSim) startServer(v *placingServer) {
	well, gray := leastWell+moreWell, leastGray+moreGray
	v.isGray = s.random.Float64() < float64(gray)/float64(gray+well)
	rest := time.Duration(s.random.Float64() * float64(s.phase(v.isGray)))
	s.after(rest, func() { s.turn(v) })
}

func (s *placingSim) phase(isGray bool) time.Duration {
	least, more := leastWell, moreWell
	if isGray {
		least, more = leastGray, moreGray
	}
	return least + time.Duration(s.random.ExpFloat64()*float64(more))
}

func (s *placingSim) turn(v *placingServer) {
	if s.now > s.c.RunDuration {
		return
	}
	v.isGray = !v.isGray
	s.after(s.phase(v.isGray), func() { s.turn(v) })
}
