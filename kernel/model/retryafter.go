package model

import "time"

// Bounds on the delay after which a refused caller is advised to try again, where that depends on the load. A caller that waits for
// longer than MaxRetryAfter has mostly given up.
const (
	MinRetryAfter = 50 * time.Millisecond
	MaxRetryAfter = 5 * time.Second
)

// RetryAfter returns the delay that is advised to a caller whose job has the given time left, within the bounds and before its
// deadline. The delays are spread evenly over an interval that begins at from, so that callers that are refused together do not
// return together; random is in [0, 1).
func RetryAfter(from, spread, left time.Duration, random float64) time.Duration {
	bound := min(max(left, MinRetryAfter), MaxRetryAfter)
	from = max(min(from, bound/2), MinRetryAfter)
	to := max(min(from+min(spread, MaxRetryAfter), bound), from)
	return from + time.Duration(random*float64(to-from))
}
