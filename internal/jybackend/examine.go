package jybackend

import (
	"time"

	"github.com/jackdawyard/jackdawyard/pkg/jynote"
	"github.com/jackdawyard/jackdawyard/pkg/jywhere"
)

// Examine returns what decides which server gets a request, whose body has the given number of bytes. It takes nothing from
// limits and budgets and counts no request. It returns false if servers are not chosen by expected loss.
func (v *Service) Examine(now time.Time, r Requirements, bytes int64) (jywhere.Facts, bool) {
	if !v.byExpectedLoss {
		return jywhere.Facts{}, false
	}
	out := jywhere.Facts{
		Request: v.placeRequest(r), DataCentre: jynote.DataCentreName(v.dataCentre), Distances: v.distances(now, r.Objective, float64(bytes)),
	}
	var due []bool
	// Without any request so far, no trial is due, and asking for one would start the time of the first contact.
	if v.contacts.knowsAll(v.centreNames, out.DataCentre) {
		due = v.dueTrials(now, r.IsRetryable)
	}
	_, competes := v.overload.rankOf(now, r.Priority)
	for i, s := range v.Servers {
		f := jywhere.ServerFacts{Name: s.Info.Name, DataCentre: s.Info.DataCentre, Candidate: v.candidate(now, s, r), Exclusion: s.exclusion(now)}
		f.Candidate.IsDueTrial = due != nil && due[i]
		if competes && !f.Candidate.IsDueTrial && v.overload.isFull(now) {
			f = v.leaveOutExamined(now, s, r, f)
		}
		out.Servers = append(out.Servers, f)
	}
	return out, true
}

// leaveOutExamined excludes the server if a request may not join its queue while the service stays full.
func (v *Service) leaveOutExamined(now time.Time, s *Server, r Requirements, f jywhere.ServerFacts) jywhere.ServerFacts {
	wasExcluded := f.Candidate.IsExcluded
	f.Candidate = v.leaveOutFull(now, s, r, f.Candidate)
	if f.Candidate.IsExcluded && !wasExcluded {
		f.Exclusion = jywhere.LeftToOthers
	}
	return f
}

// exclusion returns why the server is left out of choices now.
func (s *Server) exclusion(now time.Time) jywhere.Exclusion {
	switch {
	case s.IsDraining(now):
		return jywhere.Draining
	case s.PauseRemaining(now) > 0:
		return jywhere.Paused
	case !s.hasQuota(now):
		return jywhere.AtLimit
	case s.InFlight() >= maxInFlightPerSlot*s.Info.Slots:
		return jywhere.FullHere
	case s.isSkippedUnreachable(now):
		return jywhere.Unreached
	}
	return jywhere.None
}

// distances returns the distance to each data centre that has servers.
func (v *Service) distances(now time.Time, objective time.Duration, bytes float64) []jywhere.Distance {
	out := make([]jywhere.Distance, 0, len(v.centreNames))
	shares := map[jynote.DataCentreName]float64{}
	for _, c := range v.Shares(now) {
		shares[jynote.DataCentreName(c.Centre)] = c.Share
	}
	for i, name := range v.centreNames {
		d := jywhere.Distance{DataCentre: name, Share: shares[name], Cost: v.fixedCosts[i], CostInShare: v.fixedCosts[i]}
		if v.distance != nil && string(name) != v.dataCentre {
			d.CostInShare, d.Cost = v.distance.lockedCosts(now, name, objective, bytes)
		}
		out = append(out, d)
	}
	return out
}

// lockedCosts returns costs, where the transfer has at least as many bytes as usual.
func (d *distance) lockedCosts(now time.Time, centre jynote.DataCentreName, objective time.Duration, bytes float64) (inShare, outside float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.costs(now, centre, objective, max(bytes, d.bytes))
}
