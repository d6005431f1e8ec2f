package jybelief_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawyard/jackdawyard/pkg/jybelief"
)

// model is the default without a minimum chance, which the naive filter doesn't have.
var model = func() jybelief.Config {
	c := jybelief.DefaultConfig()
	c.MinGrayChance = 0
	return c
}()

var start = time.Unix(1_000_000, 0)

// naiveFilter integrates the chance of being gray in steps of 1 ms.
type naiveFilter struct {
	gray float64
	now  time.Time
}

func (n *naiveFilter) advance(to time.Time) {
	const step = 0.001
	for ; n.now.Before(to); n.now = n.now.Add(time.Millisecond) {
		n.gray += step * (float64(model.Onset)*(1-n.gray) - float64(model.Recovery)*n.gray)
	}
}

func (n *naiveFilter) observe(o jybelief.Outcome) {
	gray, healthy := n.gray*model.Gray[o], (1-n.gray)*model.Healthy[o]
	n.gray = gray / (gray + healthy)
}

func TestTheFilterAgreesWithStepwiseIntegration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b jybelief.Belief
		n := &naiveFilter{gray: model.Prior(), now: start}
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			n.advance(now)
			o := jybelief.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			n.observe(o)
			b = model.Observe(b, now, now, o)
			require.InDelta(t, n.gray, model.GrayChance(b, now), 0.001)
		}
	})
}

func TestEachOutcomeMovesTheChanceOfBeingGray(t *testing.T) {
	after := func(list ...jybelief.Outcome) float64 {
		var b jybelief.Belief
		for _, o := range list {
			b = model.Observe(b, start, start, o)
		}
		return model.GrayChance(b, start)
	}
	answers := []jybelief.Outcome{jybelief.Answered, jybelief.Answered}
	assert.Less(t, after(answers...), 0.03, "two answers make a server likely healthy")
	assert.Greater(t, after(append(answers, jybelief.FailedEarly)...), 0.5, "one early failure makes it likely gray")
	assert.Less(t, after(append(answers, jybelief.FailedLate)...), 0.3, "the request itself may have caused a single late failure")
	assert.Less(t, after(append(answers, jybelief.Silent)...), 0.2)
}

func TestAnswersLeaveTheMinimumChanceOfBeingGray(t *testing.T) {
	c := jybelief.DefaultConfig()
	var b jybelief.Belief
	for range 4 {
		b = c.Observe(b, start, start, jybelief.Answered)
	}
	require.InDelta(t, c.MinGrayChance, c.GrayChance(b, start), 1e-12)
	b = c.Observe(b, start, start, jybelief.FailedEarly)
	gray, healthy := c.MinGrayChance*c.Gray[jybelief.FailedEarly], (1-c.MinGrayChance)*c.Healthy[jybelief.FailedEarly]
	assert.InDelta(t, gray/(gray+healthy), c.GrayChance(b, start), 1e-12)
}

func TestTheEstimateReturnsToThePriorWithoutOutcomes(t *testing.T) {
	b := model.Observe(jybelief.Belief{}, start, start, jybelief.FailedEarly)
	last := model.GrayChance(b, start)
	for s := 1; s <= 60; s++ {
		gray := model.GrayChance(b, start.Add(time.Duration(s)*time.Second))
		assert.Less(t, gray, last)
		last = gray
	}
	assert.InDelta(t, model.Prior(), last, 0.001)
}

func TestAnOutOfOrderReportDoesNotMoveTheUpdateTimeBack(t *testing.T) {
	b := model.Observe(jybelief.Belief{}, start, start, jybelief.Answered)
	early := model.Observe(b, start, start.Add(-time.Second), jybelief.FailedEarly)
	assert.LessOrEqual(t, model.GrayChance(early, start), model.GrayChance(early, start.Add(-time.Minute)))
}

func TestAnAnswerToAnEarlierRequestDoesNotOffsetAFailure(t *testing.T) {
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	b := model.Observe(jybelief.Belief{}, ms(0), ms(300), jybelief.Answered)
	failed := model.Observe(b, ms(305), ms(310), jybelief.FailedEarly)
	assert.Equal(t, failed, model.Observe(failed, ms(200), ms(500), jybelief.Answered), "sent before the failure")
	after := model.Observe(failed, ms(320), ms(620), jybelief.Answered)
	assert.Less(t, model.GrayChance(after, ms(620)), model.GrayChance(failed, ms(620)), "sent after the failure")
}
