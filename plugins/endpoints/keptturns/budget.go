package keptturns

import "time"

const (
	// budgetRate limits the starts a second of which a member tells its witnesses, and budgetBurst those at once. Where many endpoints are
	// slow, or the member itself is, telling of each start would take the time in which jobs could be served.
	budgetRate  = 2.0
	budgetBurst = 10.0
)

// Budget bounds the starts of which a member tells its witnesses. The zero value has never been used, and is full.
type Budget struct {
	spent      float64 // Starts told of that the rate has not made up for yet.
	refilledAt time.Time
}

// Take reports whether the witnesses may be told of a further start, and counts it then.
func (b *Budget) Take(now time.Time) bool {
	b.spent = max(b.spent-budgetRate*now.Sub(b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	if b.spent+1 > budgetBurst {
		return false
	}
	b.spent++
	return true
}
