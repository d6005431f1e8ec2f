package jyretry

import "time"

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// Share is the number of retries that each answered request adds, such as 0.1.
	Share float64
	// Slack is the number of retries that are allowed in each window regardless of answers.
	Slack float64
	// Window is the time within which Slack may be used; it is required if Slack is set.
	Window time.Duration
}

// Budget bounds retries to a share of the answered requests plus a slack, so that a service that fails completely gets almost
// none. It is not safe for concurrent use.
type Budget struct {
	config     BudgetConfig
	maxTokens  float64
	tokens     float64
	refilledAt time.Time
}

// burstRequests is the number of answered requests whose share of retries may accumulate if there is no slack.
const burstRequests = 100

// NewBudget returns a budget that starts with one retry, or none if neither Share nor Slack is set: many instances that start
// together must not use up the slack at once.
func NewBudget(c BudgetConfig) *Budget {
	b := &Budget{config: c, maxTokens: c.maxTokens()}
	b.tokens = min(1, b.maxTokens)
	if c.Share <= 0 && c.Slack <= 0 {
		b.tokens = 0
	}
	return b
}

// maxTokens returns how many retries may accumulate, at least 1. With slack it is half of the slack, since the other half is
// refilled during the window.
func (c BudgetConfig) maxTokens() float64 {
	if c.Slack > 0 {
		return max(1, c.Slack/2)
	}
	return max(1, c.Share*burstRequests)
}

// SetSlack changes the slack, in retries per window, for example when the number of instances that share it changes.
func (b *Budget) SetSlack(slack float64) {
	b.config.Slack = slack
	b.maxTokens = b.config.maxTokens()
	b.tokens = min(b.tokens, b.maxTokens)
}

// CreditSuccess adds the share of one answered request.
func (b *Budget) CreditSuccess() { b.tokens = min(b.maxTokens, b.tokens+b.config.Share) }

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries that are available now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// IsHalfFull reports whether at least half of the retries that may accumulate are available, and at least one. The caller can then
// afford an attempt that may need a retry.
func (b *Budget) IsHalfFull(now time.Time) bool {
	return b.Available(now) >= max(1, b.maxTokens/2)
}

// refill adds half of the slack per window, for the time since the last call. The other half is what may accumulate.
func (b *Budget) refill(now time.Time) {
	if b.config.Slack <= 0 {
		return
	}
	if !b.refilledAt.IsZero() {
		share := now.Sub(b.refilledAt).Seconds() / b.config.Window.Seconds()
		b.tokens = min(b.maxTokens, b.tokens+max(0, share)*b.config.Slack/2)
	}
	b.refilledAt = now
}
