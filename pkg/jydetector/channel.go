package jydetector

import "math"

// channel is one property of answers that is tested.
type channel struct {
	cause Cause
	// leastShare is the smallest share that the peers are credited with.
	leastShare float64
	// alternatives are the shares that the tests look for.
	alternatives []float64
	marked       func(Counts) uint64
}

// minRatio is how far above the peers' share an alternative must lie to be tested.
const minRatio = 1.5

var channels = [...]channel{
	{
		cause:        Failures,
		leastShare:   0.005,
		alternatives: []float64{0.05, 0.2, 0.5, 0.95},
		marked:       func(c Counts) uint64 { return c.Failures },
	},
	{
		cause:        SlowAnswers,
		leastShare:   0.1,
		alternatives: []float64{0.3, 0.6, 0.95},
		marked:       func(c Counts) uint64 { return c.Slow },
	},
}

// testCount is the number of tests that run side by side on each server.
func testCount() int {
	n := 0
	for _, c := range channels {
		n += len(c.alternatives)
	}
	return n
}

// logLikelihoodRatio returns how far n attempts with k marked ones speak for share p1 against share p0.
func logLikelihoodRatio(n, k uint64, p0, p1 float64) float64 {
	return float64(k)*math.Log(p1/p0) + float64(n-k)*math.Log((1-p1)/(1-p0))
}

// maxShare bounds an observed share, so that its logarithms stay finite.
const maxShare = 0.99

// evidence returns the likelihood ratio of the observed share itself against share p0; it is 0 if the observed one is not above p0.
func evidence(n, k uint64, p0 float64) float64 {
	observed := min(maxShare, float64(k)/float64(max(1, n)))
	if observed <= p0 {
		return 0
	}
	return logLikelihoodRatio(n, k, p0, observed)
}
