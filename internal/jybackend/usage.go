package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// unusedThreshold is the time without requests after which a server counts as unused.
const unusedThreshold = 2 * time.Second

// Usage says how many of a service's servers in this data centre get requests from any instance, as far as known.
type Usage struct {
	// Servers is the number of servers in this data centre, and Unused the number of those that got no request for 2 s.
	Servers int
	Unused  int
	// LikelyGray is the number of unused servers that are likely gray, and SkippedUnreachable the number of unused servers
	// that this instance skips as unreachable.
	LikelyGray         int
	SkippedUnreachable int
	// LongestUnused is the longest time that an unused server got no request, and LongestUnusedServer its name. For a server
	// that never got one, the time starts when this instance added it.
	LongestUnused       time.Duration
	LongestUnusedServer jynote.ServerName
	// UnservedShare is the share of the service's recent requests, from 0 to 1, that were not served. Unserved trial requests are
	// not counted.
	UnservedShare float64
}

// Usage returns the usage of the service's servers. It is zero if servers are not chosen by expected loss.
func (v *Service) Usage(now time.Time) Usage {
	var out Usage
	if !v.byExpectedLoss {
		return out
	}
	out.UnservedShare = v.coverage.unservedShare(now)
	for _, s := range v.Servers {
		if v.isLocal(s) {
			out.add(now, s)
		}
	}
	return out
}

// add counts one server of this data centre.
func (u *Usage) add(now time.Time, s *Server) {
	u.Servers++
	unused := s.timeUnused(now)
	if unused < unusedThreshold {
		return
	}
	u.Unused++
	if s.health.grayChance(now) >= likelyGrayChance {
		u.LikelyGray++
	}
	if s.isSkippedUnreachable(now) {
		u.SkippedUnreachable++
	}
	if unused > u.LongestUnused {
		u.LongestUnused, u.LongestUnusedServer = unused, s.Info.Name
	}
}

// timeUnused returns the time since any instance sent the server a request, as far as known, or since it was added.
func (s *Server) timeUnused(now time.Time) time.Duration {
	last := s.lastRequestAt()
	if last.Before(s.addedAt) {
		last = s.addedAt
	}
	return now.Sub(last)
}
