package jycapacity_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jycapacity"
)

func TestFitLineReturnsTheLineThroughItsPoints(t *testing.T) {
	fit := jycapacity.FitLine("line", "B", []jycapacity.Point{{X: 10, Y: 25}, {X: 0, Y: 5}, {X: 100, Y: 205}})
	assert.InDelta(t, 2, fit.Slope, 1e-9)
	assert.InDelta(t, 5, fit.Intercept, 1e-9)
	assert.InDelta(t, 0, fit.RelativeRMSE, 1e-9)
	assert.InDelta(t, 1065, fit.At(530), 1e-6)
}

func TestParseBenchmarksFitsEachUnit(t *testing.T) {
	text := "goos: linux\nBenchmarkSlope/heartbeat/15-6   421  500 ns/op  300 B-wire\nBenchmarkSlope/heartbeat/30-6   421  700 ns/op  300 B-wire\nPASS\n"
	fits, err := jycapacity.ParseBenchmarks(strings.NewReader(text))
	require.NoError(t, err)
	assert.InDelta(t, 900, fits["heartbeat ns/op"].At(45), 1e-6)
	assert.InDelta(t, 300, fits["heartbeat B-wire"].At(530), 1e-6)
	assert.ErrorContains(t, jycapacity.WritePage(&strings.Builder{}, fits), "no measurement")
}
