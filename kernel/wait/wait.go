// Package wait waits for time to pass or a context to end.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether the context lasted. It does not wait when d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
