// Package retrybudget bounds how often refused work is sent elsewhere, as a share of first tries,
// so that an outage does not multiply messages.
package retrybudget

// Reserve is how many retries a budget holds at most, and at its start.
const Reserve = 10.0

// Budget is the retry budget of one service. Create one with New.
type Budget struct{ tokens float64 }

// New returns a full budget.
func New() *Budget { return &Budget{tokens: Reserve} }

// Deposit adds the share of one first try.
func (b *Budget) Deposit(share float64) { b.tokens = min(b.tokens+share, Reserve) }

// Withdraw takes one retry and reports whether the budget held it.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
