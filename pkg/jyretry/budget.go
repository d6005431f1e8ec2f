package jyretry

// Budget bounds retries to a share of the answered requests, so that a service that fails as a whole gets none; it is not
// safe for concurrent use.
type Budget struct {
	share  float64
	limit  float64
	tokens float64
}

// burstRequests is the number of requests whose retries may be saved up.
const burstRequests = 100

// NewBudget returns a budget that allows share retries for each answered request and starts with one retry.
func NewBudget(share float64) *Budget {
	limit := max(1, share*burstRequests)
	return &Budget{share: share, limit: limit, tokens: min(1, share*burstRequests)}
}

// Success credits one answered request.
func (b *Budget) Success() { b.tokens = min(b.limit, b.tokens+b.share) }

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
