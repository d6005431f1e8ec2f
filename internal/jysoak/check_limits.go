package jysoak

import (
	"fmt"
	"slices"
	"time"

	jyhoststandin "github.com/jackdawyard/jackdawyard/platform/standin"
)

// checkLimits reports servers that got more requests than their limit allows, from all instances together that no step disturbed.
// Requests count from LimitContact after the limit was stated, and not around steps that delay bytes on the server's link.
func checkLimits(r Record) []Violation {
	instanceOf := map[string]Request{}
	for _, q := range r.Requests {
		instanceOf[q.ID] = q
	}
	var out []Violation
	for _, s := range r.Plan {
		if s.Kind != ServerLimit {
			continue
		}
		var counted []jyhoststandin.Request
		for _, a := range r.Arrivals {
			if a.Server == s.Target && a.At < s.End() && r.countsTowardsLimit(a, instanceOf[a.ID]) {
				counted = append(counted, jyhoststandin.Request{ID: a.ID, At: time.Time{}.Add(a.At)})
			}
		}
		most := jyhoststandin.MostInLimitWindow(counted, time.Time{}.Add(s.At+jyhoststandin.LimitContact))
		if allowed := jyhoststandin.AllowedInLimitWindow(s.PerSecond); float64(most) > allowed {
			out = append(out, Violation{"limit", fmt.Sprintf(
				"server %d, which stated %g requests a second from %.2f s on, got %d in %v; %g are allowed",
				s.Target, s.PerSecond, s.At.Seconds(), most, jyhoststandin.LimitWindow, allowed)})
		}
	}
	return out
}

// countsTowardsLimit reports whether an arrival of a request counts: no step disturbed its instance, or the link to its server, from
// settleTime before.
func (r Record) countsTowardsLimit(a Arrival, q Request) bool {
	return !r.hasStepDuring(a.At-settleTime, a.At, func(s Step) bool {
		if s.Kind.targetsInstance() {
			return s.Target == q.Instance && s.Kind != Reload
		}
		return s.Target == a.Server && slices.Contains(linkKinds, s.Kind)
	})
}
