package poolstate

import (
	"time"
)

// maxWait returns how long the batch's last task may wait for its job to meet its objective; 0 means
// any time. A part of a job has no limit: refusing it would waste the work on the other parts.
func (b *batch) maxWait() time.Duration {
	if !b.Whole {
		return 0
	}
	return max(b.Objective.For(b.medianLongestRun)-b.medianLongestRun, 1)
}

// usefulUntil returns the time after which the answer of a batch is of no use: a multiple of the
// objective for a whole job, and at most the deadline.
func (b *batch) usefulUntil() time.Time {
	useful := b.arrived.Add(b.Objective.UsefulFor(b.medianLongestRun))
	if !b.Whole || useful.After(b.Deadline) {
		return b.Deadline
	}
	return useful
}
