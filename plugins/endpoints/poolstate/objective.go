package poolstate

import (
	"time"
)

// maxWait returns the longest wait of the batch's last task with which its job meets its objective; 0
// is any. A part of a job has none: to refuse it would waste what the other parts have begun.
func (b *batch) maxWait() time.Duration {
	if !b.Whole {
		return 0
	}
	return max(b.Objective.For(b.typicalRun)-b.typicalRun, 1)
}

// usefulUntil returns when the answer of a batch that is a whole job is of no use any more.
func (b *batch) usefulUntil() time.Time {
	useful := b.arrived.Add(time.Duration(b.Objective.Useful * float64(b.Objective.For(b.typicalRun))))
	if !b.Whole || useful.After(b.Deadline) {
		return b.Deadline
	}
	return useful
}
