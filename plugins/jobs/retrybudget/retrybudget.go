// Package retrybudget bounds how often refused work is sent again, as a share of first attempts, so
// that an outage does not multiply messages.
package retrybudget

// Capacity is how many retries a budget holds at most. A new budget is full.
const Capacity = 10.0

// Budget is the retry budget of one service. Create one with New.
type Budget struct{ tokens float64 }

// New returns a full budget.
func New() *Budget { return &Budget{tokens: Capacity} }

// Deposit adds the share of a retry that one first attempt earns.
func (b *Budget) Deposit(share float64) { b.tokens = min(b.tokens+share, Capacity) }

// Withdraw takes one retry out of the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
