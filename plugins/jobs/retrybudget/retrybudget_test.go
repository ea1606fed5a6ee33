package retrybudget

import (
	"testing"

	"github.com/matryer/is"
)

func TestRetriesStayWithinShareOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	const firstTries, share = 1000, 0.1
	b := New()
	retries := 0
	for range firstTries {
		b.Deposit(share)
		if b.Withdraw() {
			retries++
		}
	}
	is.True(float64(retries) <= firstTries*share+Capacity)
	is.True(retries > 0)
}
