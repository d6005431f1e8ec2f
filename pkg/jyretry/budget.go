package jyretry

import "time"

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// Share is the number of retries that each answered request allows.
	Share float64
	// Slack is the number of retries that are allowed in each window whatever is answered.
	Slack float64
	// Window is the time in which Slack may be used; it must be set where Slack is.
	Window time.Duration
}

// Budget bounds retries to a share of the answered requests, so that a service that fails as a whole gets next to none; it
// is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	limit  float64
	tokens float64
	filled time.Time
}

// burstRequests is the number of requests whose retries may be saved up where there is no slack.
const burstRequests = 100

// NewBudget returns a budget that starts with one retry: many instances that start at once must not all take their slack.
func NewBudget(c BudgetConfig) *Budget {
	b := &Budget{config: c, limit: c.limit()}
	b.tokens = min(1, b.limit)
	if c.Share <= 0 && c.Slack <= 0 {
		b.tokens = 0
	}
	return b
}

// limit is half of the slack where there is any: the other half comes in during the window.
func (c BudgetConfig) limit() float64 {
	if c.Slack > 0 {
		return max(1, c.Slack/2)
	}
	return max(1, c.Share*burstRequests)
}

// SetSlack changes the slack, as more or fewer instances share it.
func (b *Budget) SetSlack(slack float64) {
	b.config.Slack = slack
	b.limit = b.config.limit()
	b.tokens = min(b.tokens, b.limit)
}

// CreditSuccess credits one answered request.
func (b *Budget) CreditSuccess() { b.tokens = min(b.limit, b.tokens+b.config.Share) }

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries that are allowed at once.
func (b *Budget) Available(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// IsHalfFull reports whether at least half of what may be saved up is left, so that risks can be taken.
func (b *Budget) IsHalfFull(now time.Time) bool {
	return b.Available(now) >= max(1, b.limit/2)
}

// fill adds what the slack allows for the time since the last call.
func (b *Budget) fill(now time.Time) {
	if b.config.Slack <= 0 {
		return
	}
	if !b.filled.IsZero() {
		share := now.Sub(b.filled).Seconds() / b.config.Window.Seconds()
		b.tokens = min(b.limit, b.tokens+max(0, share)*b.config.Slack/2)
	}
	b.filled = now
}
