package jysoak

import (
	"fmt"
	"time"
)

const (
	// cutContact is the time after an instance was cut off from all servers from which its requests count.
	cutContact = 3 * time.Second
	// minCutShare is the least share of requests served at instances that are cut off, relative to that at the others.
	minCutShare = 2.0 / 3
	// allowedCutFailures plus allowedCutFailureShare of all requests may fail at instances that are cut off.
	allowedCutFailures     = 10
	allowedCutFailureShare = 1.0 / 50
)

// tally counts requests.
type tally struct{ sent, served int }

func (t *tally) addAll(o tally) {
	t.sent += o.sent
	t.served += o.served
}

func (t *tally) add(q Request) {
	t.sent++
	if q.IsServed() {
		t.served++
	}
}

// cutPeriod is the time within which requests at an instance that is cut off are compared with those at others: only while some
// other instance is undisturbed is there a way to a server.
const cutPeriod = time.Second

// checkCuts reports instances that were cut off from all servers, and served far less than the others in the same periods. Requests
// count at instances that no other step disturbed, as on the platform.
func checkCuts(r Record) []Violation {
	var out []Violation
	for _, s := range r.Plan {
		if s.Kind != ServersCut || s.Duration <= cutContact {
			continue
		}
		var cut, others tally
		for from := s.At + cutContact; from < s.End(); from += cutPeriod {
			here, elsewhere := r.tallyPeriod(s, from, min(from+cutPeriod, s.End()))
			if elsewhere.sent > 0 {
				cut.addAll(here)
				others.addAll(elsewhere)
			}
		}
		failed := cut.sent - cut.served
		allowed := allowedCutFailures + allowedCutFailureShare*float64(cut.sent+others.sent)
		isWorse := float64(cut.served*others.sent) < minCutShare*float64(others.served*cut.sent)
		if isWorse && float64(failed) > allowed {
			out = append(out, Violation{"requests at an instance without servers", fmt.Sprintf(
				"instance %d, cut off from all servers from %.2f s on, served %d of %d requests, the others %d of %d",
				s.Target, s.At.Seconds(), cut.served, cut.sent, others.served, others.sent)})
		}
	}
	return out
}

// tallyPeriod counts the requests that were sent in a period, at the instance that the step cuts off and at those that are not cut off.
func (r Record) tallyPeriod(s Step, from, until time.Duration) (cut, others tally) {
	for _, q := range r.Requests {
		if q.Sent < from || q.Sent >= until || q.Ended > s.End() || r.isDisturbedOtherwise(q) || r.losesKey(q) {
			continue
		}
		if q.Instance == s.Target {
			cut.add(q)
		} else if !r.isCutOff(q) {
			others.add(q)
		}
	}
	return cut, others
}

// isCutOff reports whether the request's instance was cut off from all servers shortly before or during the request.
func (r Record) isCutOff(q Request) bool {
	return r.hasStepDuring(q.Sent-settleTime, q.Ended, func(s Step) bool { return s.Kind == ServersCut && s.Target == q.Instance })
}

// isDisturbedOtherwise reports whether a step other than ServersCut affected the request's instance, or the store, shortly before or
// during the request. The platform's rule holds for instances that reach a stable store.
func (r Record) isDisturbedOtherwise(q Request) bool {
	return r.hasStepDuring(q.Sent-settleTime, q.Ended, func(s Step) bool {
		return s.Kind.disturbsStore() || s.Kind != ServersCut && s.Kind.targetsInstance() && s.Target == q.Instance
	})
}
