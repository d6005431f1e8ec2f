package jydedup_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// world is a fleet of ledgers under kills, restarts, lost and late messages, hand-overs and resends.
// It is driven step by step in an order that rapid explores; a failure prints its seed.
type world struct {
	now      time.Time
	nodes    []*node
	requests []*request
	messages []message
}

// node is one instance; a kill replaces its ledger, and with it all that it knew.
type node struct {
	name    jydedup.InstanceName
	boot    jydedup.Boot
	ledger  *jydedup.Ledger
	offered bool
}

type request struct {
	id      jydedup.ID
	effects int
	running bool
	toldNot bool
	toldRan bool
	host    jydedup.Issuer // where it runs
}

// message is a hand-over under way for any length of time. Requests need none: a late copy is the same as a resend.
type message struct {
	to       jydedup.Issuer
	handOver jydedup.HandOver
}

const caller = jydedup.Caller("label")

func newWorld(size int) *world {
	w := &world{now: time.Unix(1000, 0)}
	for i := range size {
		n := &node{name: jydedup.InstanceName(fmt.Sprintf("entry-%d", i))}
		w.boot(n)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) boot(n *node) {
	n.boot++
	n.ledger = jydedup.NewLedger(jydedup.Config{
		Self: n.self(), Secret: []byte(fmt.Sprintf("secret %s %d", n.name, n.boot)), Boot: w.now,
		Lifetime: time.Minute, Retention: time.Minute, MaxRecords: 4, MaxReplayBytes: 10, MaxKeptBytes: 100,
	})
	n.offered = false
}

func (n *node) self() jydedup.Issuer { return jydedup.Issuer{Instance: n.name, Boot: n.boot} }

func (w *world) find(i jydedup.Issuer) *node {
	for _, n := range w.nodes {
		if n.self() == i {
			return n
		}
	}
	return nil
}

// Few requests and rare kills leave room for long histories of each request.
const (
	maxRequests = 2
	killOneIn   = 4
)

func (w *world) issue(t *rapid.T) {
	if len(w.requests) == maxRequests {
		t.Skip("enough requests")
	}
	n := rapid.SampledFrom(w.nodes).Draw(t, "issuer")
	w.requests = append(w.requests, &request{id: n.ledger.Issue(w.now, caller)})
}

// submit brings a request, for the first time or again, to any instance, whoever its sender believes to hold the id.
func (w *world) submit(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip("no request")
	}
	r := rapid.SampledFrom(w.requests).Draw(t, "request")
	w.decide(t, rapid.SampledFrom(w.nodes).Draw(t, "instance"), r)
}

func (w *world) decide(t *rapid.T, n *node, r *request) {
	d := n.ledger.Begin(w.now, r.id, caller, jydedup.Fingerprint{1})
	switch d.Action {
	case jydedup.Start:
		if r.running {
			t.Fatalf("request %v started while it runs", r.id)
		}
		r.running, r.host = true, n.self()
	case jydedup.Replay, jydedup.Refuse:
		w.tell(t, r, d.Result.Outcome)
	}
}

func (w *world) tell(t *rapid.T, r *request, o jyoutcome.Outcome) {
	switch o {
	case jyoutcome.NotRun:
		r.toldNot = true
	case jyoutcome.Complete:
		r.toldRan = true
	case jyoutcome.Unknown:
	default:
		t.Fatalf("request %v was told outcome %q", r.id, o)
	}
	w.check(t)
}

// work lets a running request take effect, or end without, or end unknown to its instance.
func (w *world) work(t *rapid.T) {
	var running []*request
	for _, r := range w.requests {
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
	host := w.find(r.host)
	if host == nil {
		return // its instance was killed: the backend server worked for nobody
	}
	if err := host.ledger.Finish(r.id, result); err != nil {
		t.Fatalf("finish: %v", err)
	}
	w.tell(t, r, result.Outcome)
}

func (w *world) deliver(t *rapid.T) {
	if len(w.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	m := w.messages[i]
	if !rapid.Bool().Draw(t, "duplicated") {
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	n := w.find(m.to)
	if n == nil || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	// A refused hand-over is lost, which costs answers and no promise.
	_ = n.ledger.Import(w.now, m.handOver)
}

// leave seals an instance, and offers its ids to one successor when nothing runs any more.
func (w *world) leave(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "leaving")
	n.ledger.Seal()
	list, err := n.ledger.Export(w.now)
	if err != nil || n.offered {
		return
	}
	n.offered = true
	to := rapid.SampledFrom(w.nodes).Draw(t, "successor")
	for _, h := range list {
		w.messages = append(w.messages, message{to: to.self(), handOver: h})
	}
}

func (w *world) kill(t *rapid.T) {
	if rapid.IntRange(1, killOneIn).Draw(t, "spared") == 1 {
		w.boot(rapid.SampledFrom(w.nodes).Draw(t, "killed"))
	}
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 61, 90}).Draw(t, "seconds")) * time.Second)
}

func (w *world) check(t *rapid.T) {
	for _, r := range w.requests {
		if r.effects > 1 {
			t.Fatalf("request %v took effect %d times", r.id, r.effects)
		}
		if r.toldNot && (r.effects > 0 || r.running) {
			t.Fatalf("request %v runs or ran, and NotRun was told", r.id)
		}
		if r.toldRan && r.effects != 1 {
			t.Fatalf("request %v took effect %d times, and Complete was told", r.id, r.effects)
		}
	}
}

func TestNoInterleavingRunsARequestTwiceOrAfterNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"issue": w.issue, "submit": w.submit, "work": w.work, "deliver": w.deliver,
			"leave": w.leave, "kill": w.kill, "wait": w.wait, "": w.check,
		})
	})
}
