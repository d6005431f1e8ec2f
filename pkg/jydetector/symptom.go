package jydetector

import "math"

// symptom is a property of attempts whose share is tested.
type symptom struct {
	cause Cause
	// minReferenceShare is the least share that is assumed for the other servers, from 0 to 1.
	minReferenceShare float64
	// alternatives are the raised shares, from 0 to 1, that are tested for, one test each.
	alternatives []float64
	// affected returns the number of attempts that show the symptom.
	affected func(Counts) uint64
}

// minShareRatio is the least ratio of an alternative to the share at the other servers for which the alternative is tested.
const minShareRatio = 1.5

var symptoms = [...]symptom{
	{
		cause:             Failures,
		minReferenceShare: 0.005,
		alternatives:      []float64{0.05, 0.2, 0.5, 0.95},
		affected:          func(c Counts) uint64 { return c.Failures },
	},
	{
		cause:             SlowAnswers,
		minReferenceShare: 0.1,
		alternatives:      []float64{0.3, 0.6, 0.95},
		affected:          func(c Counts) uint64 { return c.Slow },
	},
}

// testCount returns the number of tests that run in parallel on each server.
func testCount() int {
	n := 0
	for _, c := range symptoms {
		n += len(c.alternatives)
	}
	return n
}

// logLikelihoodRatio returns the log-likelihood ratio of share p1 to share p0 for n attempts, k of them affected. It is above 0 if
// p1 is the more likely share.
func logLikelihoodRatio(n, k uint64, p0, p1 float64) float64 {
	return float64(k)*math.Log(p1/p0) + float64(n-k)*math.Log((1-p1)/(1-p0))
}

// maxObservedShare bounds an observed share to keep its logarithms finite.
const maxObservedShare = 0.99

// excessScore returns the log-likelihood ratio of the observed share k/n against share p0, or 0 if it is not above p0.
func excessScore(n, k uint64, p0 float64) float64 {
	observed := min(maxObservedShare, float64(k)/float64(max(1, n)))
	if observed <= p0 {
		return 0
	}
	return logLikelihoodRatio(n, k, p0, observed)
}
