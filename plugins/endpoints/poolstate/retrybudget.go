package poolstate

import "math"

// maxRetryTokens bounds the retries that can accumulate before an outage.
const maxRetryTokens = 16

// retryBudget limits retries to a share of the first attempts, so that an outage does not multiply
// messages.
type retryBudget struct{ tokens float64 }

// deposit adds the share of a retry that one first attempt pays for.
func (b *retryBudget) deposit(share float64) { b.tokens = math.Min(b.tokens+share, maxRetryTokens) }

// tryWithdraw uses up one retry and reports whether one was available.
func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
