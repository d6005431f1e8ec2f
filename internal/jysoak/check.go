package jysoak

import (
	"fmt"
	"time"
)

// Violation is one case in which a guarantee was broken.
type Violation struct {
	Guarantee string // the name of the guarantee
	Detail    string // the request and times that show it
}

// Limits that the platform's first users require.
const (
	settleTime        = 3 * time.Second        // a step that ended less than this before a request may still affect it
	drainTime         = 2 * time.Second        // a server gets no request that was sent more than this after its drain began
	rollbackSlack     = 250 * time.Millisecond // no request sent more than this after the first use of a newer version uses an older one
	pausedSlackFactor = 8                      // factor on rollbackSlack for an instance that was paused
	recoveryTime      = 15 * time.Second       // after the last fault, until minServedShare applies
	minServedShare    = 0.9                    // least share of served requests after recoveryTime
)

// Check returns the broken guarantees that a record shows, or none.
func Check(r Record) []Violation {
	executions := map[string][]Execution{}
	for _, e := range r.Executions {
		executions[e.ID] = append(executions[e.ID], e)
	}
	var out []Violation
	report := func(guarantee, detail string, values ...any) {
		out = append(out, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(detail, values...)})
	}
	for _, q := range r.Requests {
		ran := executions[q.ID]
		if !q.IsIdempotent && len(ran) > 1 {
			report("at most once", "request %s ran %d times", q.ID, len(ran))
		}
		if q.IsRefused() && len(ran) > 0 && !q.IsIdempotent {
			report("refused requests did not run", "request %s was refused with %d and ran at server %d", q.ID, q.Status, ran[0].Server)
		}
		if q.IsServed() && (q.Body != expectedBody(q.ID) || !q.Signed) {
			report("matching, signed answers", "request %s got %q", q.ID, q.Body)
		}
		if q.Status == 0 && len(ran) > 0 && r.onlyTerminated(q, ran[0]) {
			report("no request cut off at shutdown",
				"request %s, sent at %.2f s to instance %d, ended at %.2f s without an answer",
				q.ID, q.Sent.Seconds(), q.Instance, q.Ended.Seconds())
		}
	}
	out = append(out, checkDrain(r, executions)...)
	out = append(out, checkRollback(r, executions)...)
	out = append(out, checkAddedRoutes(r)...)
	out = append(out, checkLimits(r)...)
	out = append(out, checkCuts(r)...)
	out = append(out, checkKeys(r)...)
	return append(out, checkRecovery(r)...)
}

// expectedBody returns the body with which every server answers the request.
func expectedBody(id string) string { return "answer to " + id }

// hasStepDuring reports whether a matching step overlaps the period.
func (r Record) hasStepDuring(from, until time.Duration, matches func(Step) bool) bool {
	for _, s := range r.Plan {
		if s.At <= until && s.End() >= from && matches(s) {
			return true
		}
	}
	return false
}

// onlyTerminated reports whether the instance was terminated during the request and no other fault could have cut it off. That is
// so if no other step affected the instance or the server from settleTime before the request to its end. Store faults don't
// matter here.
func (r Record) onlyTerminated(q Request, execution Execution) bool {
	isTermination := func(s Step) bool { return s.Kind == Terminate && s.Target == q.Instance }
	if !r.hasStepDuring(q.Sent, q.Ended, isTermination) {
		return false
	}
	return !r.hasStepDuring(q.Sent-settleTime, q.Ended, func(s Step) bool {
		return !isTermination(s) && !s.Kind.disturbsStore() && (s.Kind.targetsInstance() && s.Target == q.Instance || !s.Kind.targetsInstance() && s.Target == execution.Server)
	})
}

// isSettled reports whether no step affected the instance or the store from settleTime before the request until its end.
func (r Record) isSettled(q Request) bool {
	return !r.hasStepDuring(q.Sent-settleTime, q.Ended, func(s Step) bool {
		return s.Kind.disturbsStore() || s.Kind.targetsInstance() && s.Target == q.Instance
	})
}

// checkDrain reports requests that a settled instance sent to a server more than drainTime after it started to drain.
func checkDrain(r Record, executions map[string][]Execution) []Violation {
	var out []Violation
	for _, s := range r.Plan {
		if s.Kind != ServerDrain {
			continue
		}
		for _, q := range r.Requests {
			for _, e := range executions[q.ID] {
				if e.Server == s.Target && q.Sent > s.At+drainTime && q.Sent < s.End() && r.isSettled(q) {
					out = append(out, Violation{
						"drain",
						fmt.Sprintf("request %s, sent at %.2f s, ran at server %d, which started to drain at %.2f s",
							q.ID, q.Sent.Seconds(), e.Server, s.At.Seconds()),
					})
				}
			}
		}
	}
	return out
}

// processRun identifies one run of an instance's process.
type processRun struct{ instance, boot int }

// checkRollback reports requests that ran at the first service, but were sent to a process run that had used the second one for
// longer than rollbackSlack.
func checkRollback(r Record, executions map[string][]Execution) []Violation {
	movedAt := map[processRun]time.Duration{}
	for _, q := range r.Requests {
		for _, e := range executions[q.ID] {
			run := processRun{q.Instance, q.Boot}
			if at, ok := movedAt[run]; e.Service > 0 && (!ok || e.At < at) {
				movedAt[run] = e.At
			}
		}
	}
	var out []Violation
	for _, q := range r.Requests {
		at, ok := movedAt[processRun{q.Instance, q.Boot}]
		slack := rollbackSlack
		if r.hasStepDuring(q.Sent-settleTime, q.Ended, func(s Step) bool { return s.Kind == Pause && s.Target == q.Instance }) {
			slack *= pausedSlackFactor
		}
		for _, e := range executions[q.ID] {
			if ok && e.Service == 0 && q.Sent > at+slack {
				out = append(out, Violation{
					"no configuration rollback",
					fmt.Sprintf("request %s, sent at %.2f s to instance %d, ran at the first service, although the instance had used the second one at %.2f s",
						q.ID, q.Sent.Seconds(), q.Instance, at.Seconds()),
				})
			}
		}
	}
	return out
}

// checkRecovery reports a violation if less than minServedShare of the requests sent after recoveryTime were served.
func checkRecovery(r Record) []Violation {
	sent, served := 0, 0
	for _, q := range r.Requests {
		if q.Sent < r.FaultsEnded+recoveryTime || r.losesKey(q) {
			continue
		}
		sent++
		if q.IsServed() {
			served++
		}
	}
	if sent > 0 && float64(served) < minServedShare*float64(sent) {
		return []Violation{{"recovery", fmt.Sprintf("%d of %d requests served after all faults were over for %v", served, sent, recoveryTime)}}
	}
	return nil
}
