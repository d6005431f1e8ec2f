package jybackend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jybackend"
)

const usualLatency = 300 * time.Millisecond

// send sends requests one after the other and returns the number that each server got. result returns the result and the latency
// of a request at a server.
func send(
	t *testing.T, v *jybackend.Service, requests int,
	result func(*jybackend.Server) (jybackend.Result, time.Duration),
) map[string]int {
	got := map[string]int{}
	for range requests {
		p, err := v.Choose(time.Now(), jybackend.Requirements{Objective: time.Second})
		require.NoError(t, err)
		got[string(p.Server.Info.Name)]++
		r, latency := result(p.Server)
		p.Server.Release()
		v.RecordAttempt(p, r, latency)
	}
	return got
}

func answered(*jybackend.Server) (jybackend.Result, time.Duration) {
	return jybackend.Answered, usualLatency
}

func TestAFailingServerGetsAtMostTwoOfManyRequests(t *testing.T) {
	v := newService(6)
	send(t, v, 60, answered)
	gray := v.Servers[0].Info.Name
	got := send(t, v, 200, func(s *jybackend.Server) (jybackend.Result, time.Duration) {
		if s.Info.Name == gray {
			return jybackend.Failed, time.Millisecond
		}
		return jybackend.Answered, usualLatency
	})
	assert.LessOrEqual(t, got[string(gray)], 2)
}

func TestAServerThatOneInstanceCannotReachIsNotLikelyGray(t *testing.T) {
	failChanceAfter := func(r jybackend.Result) float64 {
		v := newService(1)
		send(t, v, 60, answered)
		send(t, v, 1, func(*jybackend.Server) (jybackend.Result, time.Duration) { return r, time.Millisecond })
		return v.Servers[0].FailChance(time.Now())
	}
	assert.Greater(t, failChanceAfter(jybackend.Failed), 0.5)
	assert.Less(t, failChanceAfter(jybackend.Unreached), 0.3)
}

func TestAFailureInAPeerReportRaisesTheChanceOfFailure(t *testing.T) {
	v := newService(3)
	send(t, v, 60, answered)
	gray := v.Servers[0]
	before := gray.FailChance(time.Now())
	v.ApplyPeerReport(gray, jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
	assert.Greater(t, gray.FailChance(time.Now()), 0.3)
	assert.Greater(t, gray.FailChance(time.Now()), before)
}

func TestAServerThatPeersLoadGetsNoRequests(t *testing.T) {
	v := newService(2)
	send(t, v, 60, answered)
	busy := v.Servers[0]
	v.ApplyPeerReport(busy, jybackend.PeerReport{InFlight: 12})
	got := send(t, v, 50, answered)
	assert.Zero(t, got[string(busy.Info.Name)])
}

func TestALateAnswerOffsetsTheOverdueOutcome(t *testing.T) {
	v := newService(1)
	send(t, v, 60, answered)
	before := v.Servers[0].FailChance(time.Now())
	p, err := v.Choose(time.Now(), jybackend.Requirements{Objective: time.Second})
	require.NoError(t, err)
	v.RecordOverdue(p.Server)
	overdue := p.Server.FailChance(time.Now())
	require.Greater(t, overdue, before)
	v.RecordAttempt(p, jybackend.Answered, 4*usualLatency)
	assert.Less(t, p.Server.FailChance(time.Now()), overdue)
}

// A server may answer requests that it started before it turned gray. Such an answer must not make it look healthy again.
func TestAnAnswerToAnEarlierRequestDoesNotOffsetAFailure(t *testing.T) {
	v := newService(1)
	send(t, v, 60, answered)
	s := v.Servers[0]
	p, err := v.Choose(time.Now(), jybackend.Requirements{Objective: time.Second})
	require.NoError(t, err)
	v.ApplyPeerReport(s, jybackend.PeerReport{Outcomes: jybackend.OneEarlyFailure()})
	failed := s.FailChance(time.Now())
	v.RecordAttempt(p, jybackend.Answered, usualLatency)
	assert.InDelta(t, failed, s.FailChance(time.Now()), 0.01)
}

func TestAnswersOfAColdServerBecomeOverdueLater(t *testing.T) {
	v := newService(1)
	send(t, v, 60, answered)
	p := jybackend.Placement{Server: v.Servers[0]}
	usual := v.OverdueAfter(p)
	require.Positive(t, usual)
	v.Servers[0].SetColdUntil(time.Now().Add(time.Minute))
	assert.Greater(t, v.OverdueAfter(p), usual)
}
