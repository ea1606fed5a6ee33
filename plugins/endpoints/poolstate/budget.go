package poolstate

import "math"

// maxRetryTokens bounds the retries that can be saved up for an outage.
const maxRetryTokens = 16

// budget bounds retries to a share of the first tries, so that an outage does not multiply
// messages.
type budget struct{ tokens float64 }

// earn adds what one first try is worth.
func (b *budget) earn(share float64) { b.tokens = math.Min(b.tokens+share, maxRetryTokens) }

// spend takes one retry and reports whether there was one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
