package jyexperiment

import "math"

// Number of accounts and the exponent of their Zipf distribution.
const (
	waitingAccounts = 86
	zipfExponent    = 1.2
)

// accountWeights holds the cumulative shares of the accounts.
var accountWeights = func() []float64 {
	out, sum := make([]float64, waitingAccounts), 0.0
	for i := range out {
		sum += math.Pow(float64(i+1), -zipfExponent)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}()

// accountShare returns the share of an account in all requests.
func accountShare(account int) float64 {
	if account == 0 {
		return accountWeights[0]
	}
	return accountWeights[account] - accountWeights[account-1]
}
