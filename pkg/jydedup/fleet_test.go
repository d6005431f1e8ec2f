package jydedup_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// fleet models instances with their ledgers under restarts, lost, late and duplicated messages, hand-overs and resends.
// rapid chooses the order of the steps; a failure prints its seed.
type fleet struct {
	now       time.Time
	instances []*instance
	requests  []*request
	messages  []message
}

// instance is one instance; a kill restarts it with an empty ledger.
type instance struct {
	name       jydedup.InstanceName
	boot       jydedup.Boot
	ledger     *jydedup.Ledger
	handedOver bool
}

type request struct {
	id               jydedup.ID
	effects          int
	running          bool
	reportedNotRun   bool
	reportedComplete bool
	host             jydedup.Issuer // the instance that runs it
}

// message is a hand-over in transit for any length of time. Requests need no messages: a late copy is the same as a resend.
type message struct {
	to       jydedup.Issuer
	handOver jydedup.HandOver
}

const caller = jydedup.Caller("label")

func newFleet(size int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for i := range size {
		n := &instance{name: jydedup.InstanceName(fmt.Sprintf("entry-%d", i))}
		f.boot(n)
		f.instances = append(f.instances, n)
	}
	return f
}

func (f *fleet) boot(n *instance) {
	n.boot++
	n.ledger = jydedup.NewLedger(jydedup.Config{
		Self: n.self(), Secret: []byte(fmt.Sprintf("secret %s %d", n.name, n.boot)), Boot: f.now,
		Lifetime: time.Minute, Retention: time.Minute, MaxRecords: 4, MaxReplayBytes: 10, MaxKeptBytes: 100,
	})
	n.handedOver = false
}

func (n *instance) self() jydedup.Issuer { return jydedup.Issuer{Instance: n.name, Boot: n.boot} }

func (f *fleet) find(i jydedup.Issuer) *instance {
	for _, n := range f.instances {
		if n.self() == i {
			return n
		}
	}
	return nil
}

// Few requests and rare kills give each request a long history within the steps of a run.
const (
	maxRequests = 2
	killOneIn   = 4
)

func (f *fleet) issue(t *rapid.T) {
	if len(f.requests) == maxRequests {
		t.Skip("enough requests")
	}
	n := rapid.SampledFrom(f.instances).Draw(t, "issuer")
	f.requests = append(f.requests, &request{id: n.ledger.Issue(f.now, caller)})
}

// submit sends a request, for the first time or again, to any instance, as a sender with a wrong view of the owner would.
func (f *fleet) submit(t *rapid.T) {
	if len(f.requests) == 0 {
		t.Skip("no request")
	}
	r := rapid.SampledFrom(f.requests).Draw(t, "request")
	f.decide(t, rapid.SampledFrom(f.instances).Draw(t, "instance"), r)
}

func (f *fleet) decide(t *rapid.T, n *instance, r *request) {
	d := n.ledger.Begin(f.now, r.id, caller, jydedup.Fingerprint{1})
	switch d.Action {
	case jydedup.Start:
		if r.running {
			t.Fatalf("request %v started while it runs", r.id)
		}
		r.running, r.host = true, n.self()
	case jydedup.Replay, jydedup.Refuse:
		f.report(t, r, d.Result.Outcome)
	}
}

// report records the outcome that the caller receives.
func (f *fleet) report(t *rapid.T, r *request, o jyoutcome.Outcome) {
	switch o {
	case jyoutcome.NotRun:
		r.reportedNotRun = true
	case jyoutcome.Complete:
		r.reportedComplete = true
	case jyoutcome.Unknown:
	default:
		t.Fatalf("request %v has outcome %q", r.id, o)
	}
	f.check(t)
}

// endRequest ends a running request: with an effect, without one, or with an effect that its instance does not learn of.
func (f *fleet) endRequest(t *rapid.T) {
	var running []*request
	for _, r := range f.requests {
		if r.running {
			running = append(running, r)
		}
	}
	if len(running) == 0 {
		t.Skip("nothing runs")
	}
	r := rapid.SampledFrom(running).Draw(t, "running")
	result := rapid.SampledFrom([]jydedup.Result{
		{Outcome: jyoutcome.Complete, Answer: &jydedup.Answer{Status: 200}},
		{Outcome: jyoutcome.NotRun, Reason: jyoutcome.ConnectFailed},
		{Outcome: jyoutcome.Unknown, Reason: jyoutcome.AnswerLost},
	}).Draw(t, "result")
	if result.Outcome != jyoutcome.NotRun {
		r.effects++
	}
	r.running = false
	host := f.find(r.host)
	if host == nil {
		return // its instance was killed, so the result is lost
	}
	if err := host.ledger.Finish(r.id, result); err != nil {
		t.Fatalf("finish: %v", err)
	}
	f.report(t, r, result.Outcome)
}

// deliver delivers or loses a hand-over in transit. A duplicated one stays in transit as well.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
	m := f.messages[i]
	if !rapid.Bool().Draw(t, "duplicated") {
		f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
	}
	n := f.find(m.to)
	if n == nil || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	// If the import is refused, the hand-over is lost: resends then get no answer, but nothing runs twice.
	_ = n.ledger.Import(f.now, m.handOver)
}

// leave seals an instance, and hands its ids over to one successor once nothing is running.
func (f *fleet) leave(t *rapid.T) {
	n := rapid.SampledFrom(f.instances).Draw(t, "leaving")
	n.ledger.Seal()
	list, err := n.ledger.Export(f.now)
	if err != nil || n.handedOver {
		return
	}
	n.handedOver = true
	to := rapid.SampledFrom(f.instances).Draw(t, "successor")
	for _, h := range list {
		f.messages = append(f.messages, message{to: to.self(), handOver: h})
	}
}

func (f *fleet) kill(t *rapid.T) {
	if rapid.IntRange(1, killOneIn).Draw(t, "spared") == 1 {
		f.boot(rapid.SampledFrom(f.instances).Draw(t, "killed"))
	}
}

func (f *fleet) wait(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 61, 90}).Draw(t, "seconds")) * time.Second)
}

// check asserts that each request took effect at most once, exactly once if Complete was reported, and never if NotRun was.
func (f *fleet) check(t *rapid.T) {
	for _, r := range f.requests {
		if r.effects > 1 {
			t.Fatalf("request %v took effect %d times", r.id, r.effects)
		}
		if r.reportedNotRun && (r.effects > 0 || r.running) {
			t.Fatalf("request %v runs or ran, but NotRun was reported", r.id)
		}
		if r.reportedComplete && r.effects != 1 {
			t.Fatalf("request %v took effect %d times, but Complete was reported", r.id, r.effects)
		}
	}
}

func TestRequestRunsAtMostOnceAndNeverAfterNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		t.Repeat(map[string]func(*rapid.T){
			"issue": f.issue, "submit": f.submit, "work": f.endRequest, "deliver": f.deliver,
			"leave": f.leave, "kill": f.kill, "wait": f.wait, "": f.check,
		})
	})
}
