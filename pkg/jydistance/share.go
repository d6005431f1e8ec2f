package jydistance

import (
	"cmp"
	"slices"
	"time"
)

// Centre is the name of a data centre.
type Centre string

// Reluctance is the additional cost, as a share of the request's value, of another data centre for requests outside the share,
// while Share.CoversDemand. Local servers are preferred until their expected loss is that much higher.
const Reluctance = 0.2

const (
	// MaxViewAge is the age up to which the capacity that a data centre stated is used. It is stated once a second, in datagrams
	// that may be lost.
	MaxViewAge = 4 * time.Second
	// forgetAge is the age at which a data centre that states nothing no longer counts as wanting the room of others.
	forgetAge = time.Minute
	// holdTime is how long a share that is no longer needed is kept, so that it does not follow the random changes of demand.
	holdTime = 10 * time.Second
	// releaseTime is the time constant with which a share falls that is no longer needed.
	releaseTime = 5 * time.Second
	// startShare is the share of excess demand from which on requests begin to leave. Random peaks exceed the usable slots by less,
	// and the reserve beyond them serves such a peak.
	startShare = 0.05
	// minShare is the least share that is used, and the least change for which a share is changed.
	minShare = 0.02
)

// Share holds which part of a service's requests the own data centre may send to each other one. It is not safe for concurrent use.
type Share struct {
	views     []*view // sorted by centre
	updatedAt time.Time
	isCovered bool // the excess of the own data centre fits into the allowances
}

// view is what is known about one other data centre.
type view struct {
	centre   Centre
	capacity Capacity
	ours     float64 // requests that it held for the own data centre when it stated its capacity
	at       time.Time
	share    float64
	neededAt time.Time // when share was last needed
}

// CentreShare is the share for one data centre and what that data centre stated.
type CentreShare struct {
	Centre Centre
	// Share is the part of the requests, from 0 to 1, that may be sent there.
	Share    float64
	Capacity Capacity
	StatedAt time.Time
}

// ObserveView records the capacity that another data centre stated. ours is the decayed mean of the requests that the own data
// centre's instances have at its servers.
func (s *Share) ObserveView(now time.Time, from Centre, c Capacity, ours float64) {
	i, known := slices.BinarySearchFunc(s.views, from, func(v *view, name Centre) int { return cmp.Compare(v.centre, name) })
	if !known {
		s.views = slices.Insert(s.views, i, &view{centre: from})
	}
	v := s.views[i]
	v.capacity, v.ours, v.at = c, ours, now
}

// Update computes the shares anew. slots are those of the own data centre's fit servers, and demand the slots that its callers'
// requests need; see Demand.
//
// The excess over the usable slots is divided in proportion to the allowances of the other data centres. A share rises at once,
// falls slowly when it has not been needed for a while, and falls at once to its allowance.
func (s *Share) Update(now time.Time, slots, demand float64) {
	elapsed := now.Sub(s.updatedAt)
	s.updatedAt = now
	s.views = slices.DeleteFunc(s.views, func(v *view) bool { return now.Sub(v.at) > forgetAge })
	excess := max(0, demand-Usable(slots))
	allowances, sum := s.allowances(now)
	s.isCovered = excess <= sum
	if s.Total() == 0 && excess < startShare*demand {
		return
	}
	for i, v := range s.views {
		if allowances[i] == 0 || demand <= 0 {
			v.share = 0
			continue
		}
		needed := min(1, excess/sum) * allowances[i] / demand
		v.follow(now, needed, elapsed)
		v.share = min(v.share, allowances[i]/demand)
	}
}

// allowances returns the number of requests that each other data centre may hold for the own one, and their sum.
func (s *Share) allowances(now time.Time) ([]float64, float64) {
	out, sum := make([]float64, len(s.views)), 0.0
	for i, v := range s.views {
		if !v.isFresh(now) {
			continue
		}
		out[i] = max(0, v.ours+v.capacity.room()/s.claimants(now, v))
		sum += out[i]
	}
	return out, sum
}

// claimants returns the number of data centres that may want the room of the one: the own one and all others that are nearly full
// or have not stated their capacity for too long.
func (s *Share) claimants(now time.Time, of *view) float64 {
	count := 1.0
	for _, v := range s.views {
		if v != of && (!v.isFresh(now) || v.capacity.isNearlyFull()) {
			count++
		}
	}
	return count
}

func (v *view) isFresh(now time.Time) bool { return now.Sub(v.at) <= MaxViewAge }

// follow moves the share towards the one that is needed, given the time since the last move.
func (v *view) follow(now time.Time, needed float64, elapsed time.Duration) {
	if needed > 0 && needed >= v.share-minShare {
		v.neededAt = now
	}
	if needed >= v.share+minShare {
		v.share = needed
		return
	}
	if now.Sub(v.neededAt) <= holdTime {
		return
	}
	v.share = needed + (v.share-needed)*keptAfter(elapsed, releaseTime)
	if v.share < minShare {
		v.share = 0
	}
}

// CoversDemand reports whether the own data centre and the shares together have room for all requests, so that requests outside
// the shares can stay. It returns false if no other data centre stated its capacity recently.
func (s *Share) CoversDemand(now time.Time) bool {
	return s.isCovered && slices.ContainsFunc(s.views, func(v *view) bool { return v.isFresh(now) })
}

// Total returns the part of all requests, from 0 to 1, that may be sent to other data centres.
func (s *Share) Total() float64 {
	sum := 0.0
	for _, v := range s.views {
		sum += v.share
	}
	return min(1, sum)
}

// Centres returns the shares of all other data centres that stated their capacity, sorted by name.
func (s *Share) Centres() []CentreShare {
	out := make([]CentreShare, 0, len(s.views))
	for _, v := range s.views {
		out = append(out, CentreShare{Centre: v.centre, Share: v.share, Capacity: v.capacity, StatedAt: v.at})
	}
	return out
}

// Draw returns the data centre to which a request may be sent, or false if the request should stay. random is a number in [0, 1).
func (s *Share) Draw(random float64) (Centre, bool) {
	for _, v := range s.views {
		if random < v.share {
			return v.centre, true
		}
		random -= v.share
	}
	return "", false
}
