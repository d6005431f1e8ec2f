package jysoak

import (
	"fmt"
	"time"
)

// Violation is a broken promise.
type Violation struct {
	Guarantee string
	Detail    string
}

// Bounds of the platform's first users.
const (
	settleTime   = 3 * time.Second        // after it has been undisturbed for so long, an instance is bound by the times below
	leaveTime    = 2 * time.Second        // a server that leaves gets no request later than that
	regressSlack = 250 * time.Millisecond // an older configuration is not seen later than that after a newer one
	pausedSlack  = 8                      // times as long where the instance was paused
	recoveryTime = 15 * time.Second       // requests are served again after that
	servedAgain  = 0.9                    // share of them
)

// Check returns the promises that a record breaks.
func Check(r Record) []Violation {
	runs := map[string][]Execution{}
	for _, v := range r.Executions {
		runs[v.ID] = append(runs[v.ID], v)
	}
	var out []Violation
	broken := func(promise, detail string, values ...any) {
		out = append(out, Violation{Guarantee: promise, Detail: fmt.Sprintf(detail, values...)})
	}
	for _, a := range r.Requests {
		ran := runs[a.ID]
		if !a.IsIdempotent && len(ran) > 1 {
			broken("at most once", "request %s ran %d times", a.ID, len(ran))
		}
		if a.IsRefused() && len(ran) > 0 && !a.IsIdempotent {
			broken("true refusals", "request %s was refused with %d and ran at server %d", a.ID, a.Status, ran[0].Server)
		}
		if a.IsServed() && (a.Body != bodyOf(a.ID) || !a.Signed) {
			broken("own, whole answers", "request %s got %q", a.ID, a.Body)
		}
		if a.Status == 0 && len(ran) > 0 && r.isShutDownAlone(a, ran[0]) {
			broken("nothing cut off at shutdown", "request %s, sent at %.2f s to instance %d, ended at %.2f s without an answer", a.ID, a.Sent.Seconds(), a.Instance, a.Ended.Seconds())
		}
	}
	out = append(out, checkDrain(r, runs)...)
	out = append(out, checkRegress(r, runs)...)
	return append(out, checkRecovery(r)...)
}

func bodyOf(id string) string { return "answer to " + id }

// disturbed reports whether a step of which that is true was on within the time.
func (r Record) disturbed(from, until time.Duration, is func(Step) bool) bool {
	for _, s := range r.Plan {
		if s.At <= until && s.End() >= from && is(s) {
			return true
		}
	}
	return false
}

// isShutDownAlone reports whether the instance was terminated around the request, and nothing else was on.
func (r Record) isShutDownAlone(a Request, run Execution) bool {
	isEnd := func(s Step) bool { return s.Kind == Terminate && s.Target == a.Instance }
	if !r.disturbed(a.Sent, a.Ended, isEnd) {
		return false
	}
	return !r.disturbed(a.Sent-settleTime, a.Ended, func(s Step) bool {
		return !isEnd(s) && !s.Kind.touchesStore() && (s.Kind.touchesInstance() && s.Target == a.Instance || !s.Kind.touchesInstance() && s.Target == run.Server)
	})
}

// isSettled reports whether the instance and the store were undisturbed for long before the request, up to its end.
func (r Record) isSettled(a Request) bool {
	return !r.disturbed(a.Sent-settleTime, a.Ended, func(s Step) bool {
		return s.Kind.touchesStore() || s.Kind.touchesInstance() && s.Target == a.Instance
	})
}

func checkDrain(r Record, runs map[string][]Execution) []Violation {
	var out []Violation
	for _, s := range r.Plan {
		if s.Kind != ServerDrain {
			continue
		}
		for _, a := range r.Requests {
			for _, v := range runs[a.ID] {
				if v.Server == s.Target && a.Sent > s.At+leaveTime && a.Sent < s.End() && r.isSettled(a) {
					out = append(out, Violation{"drain", fmt.Sprintf("request %s, sent at %.2f s, ran at server %d, which left at %.2f s", a.ID, a.Sent.Seconds(), v.Server, s.At.Seconds())})
				}
			}
		}
	}
	return out
}

// life is one run of an instance's process.
type life struct{ instance, number int }

func checkRegress(r Record, runs map[string][]Execution) []Violation {
	moved := map[life]time.Duration{}
	for _, a := range r.Requests {
		for _, v := range runs[a.ID] {
			l := life{a.Instance, a.Boot}
			if at, ok := moved[l]; v.Service > 0 && (!ok || v.At < at) {
				moved[l] = v.At
			}
		}
	}
	var out []Violation
	for _, a := range r.Requests {
		at, ok := moved[life{a.Instance, a.Boot}]
		slack := regressSlack
		if r.disturbed(a.Sent-settleTime, a.Ended, func(s Step) bool { return s.Kind == Pause && s.Target == a.Instance }) {
			slack *= pausedSlack
		}
		for _, v := range runs[a.ID] {
			if ok && v.Service == 0 && a.Sent > at+slack {
				out = append(out, Violation{"no regress", fmt.Sprintf("request %s, sent at %.2f s to instance %d, ran at the service that its routes had left at %.2f s", a.ID, a.Sent.Seconds(), a.Instance, at.Seconds())})
			}
		}
	}
	return out
}

func checkRecovery(r Record) []Violation {
	asked, served := 0, 0
	for _, a := range r.Requests {
		if a.Sent < r.FaultsEnded+recoveryTime {
			continue
		}
		asked++
		if a.IsServed() {
			served++
		}
	}
	if asked > 0 && float64(served) < servedAgain*float64(asked) {
		return []Violation{{"recovery", fmt.Sprintf("%d of %d requests served after all faults were over for %v", served, asked, recoveryTime)}}
	}
	return nil
}
