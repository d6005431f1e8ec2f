package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
)

// unusedTime is how long a server must have got no request to count as unused.
const unusedTime = 2 * time.Second

// Usage is how many of a service's servers in this data centre get requests, as far as known here.
type Usage struct {
	Servers int
	Unused  int
	// LikelyGray and PassedOver count the unused servers that are believed gray, and those that this instance lost connections to.
	LikelyGray         int
	SkippedUnreachable int
	// LongestUnused is the longest time without a request, at the server Named; a server that never got one counts as of its first sight.
	LongestUnused       time.Duration
	LongestUnusedServer jynote.ServerName
	// UnservedShare is the share of the requests of late that were not served, without those that tried an idle server.
	UnservedShare float64
}

// Usage returns which servers get requests; there is nothing where they are not chosen by expected loss.
func (v *Service) Usage(now time.Time) Usage {
	var out Usage
	if !v.byLoss {
		return out
	}
	out.UnservedShare = v.coverage.unservedShare(now)
	for _, s := range v.Servers {
		if v.isNearby(s) {
			out.add(now, s)
		}
	}
	return out
}

func (u *Usage) add(now time.Time, s *Server) {
	u.Servers++
	unused := s.unused(now)
	if unused < unusedTime {
		return
	}
	u.Unused++
	if s.health.gray(now) >= doubted {
		u.LikelyGray++
	}
	if s.isPassedOver(now) {
		u.SkippedUnreachable++
	}
	if unused > u.LongestUnused {
		u.LongestUnused, u.LongestUnusedServer = unused, s.Info.Name
	}
}

// unused returns how long no instance is known to have sent the server a request, since it was first seen.
func (s *Server) unused(now time.Time) time.Duration {
	last := s.lastUsed()
	if last.Before(s.seen) {
		last = s.seen
	}
	return now.Sub(last)
}
