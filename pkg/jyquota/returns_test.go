package jyquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

func TestRejectedCallersComeBackAtTheRateAtWhichTheyCanBeServed(t *testing.T) {
	var r jyquota.Returns
	now := time.Unix(1000, 0)
	const rate = 4
	for i := range 10 {
		assert.Equal(t, time.Duration(i+1)*time.Second/rate, r.Next(now, rate))
	}
	later := now.Add(time.Minute)
	assert.Equal(t, time.Second/rate, r.Next(later, rate), "times that have passed are forgotten")
}

func TestTheTimeUntilACallerMayComeBackIsBounded(t *testing.T) {
	var r jyquota.Returns
	now := time.Unix(1000, 0)
	for _, rate := range []jyquota.Rate{0.001, 0, 1, 1, 1} {
		wait := r.Next(now, rate)
		assert.Positive(t, wait)
		assert.LessOrEqual(t, wait, 5*time.Second)
	}
	assert.Positive(t, r.Next(now.Add(time.Minute), 1e12))
}
