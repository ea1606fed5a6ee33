package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
)

// maxWait returns how long the batch's last task may wait for its job to meet its objective; 0 means
// any time. A part of a job has no limit: refusing it would waste the work on the other parts.
func (b *batch) maxWait() time.Duration {
	if !b.Whole {
		return 0
	}
	return b.allowedWait()
}

// allowedWait returns how long the batch's tasks may wait for its job to meet its objective.
func (b *batch) allowedWait() time.Duration {
	return max(b.Objective.For(b.medianLongestRun)-b.medianLongestRun, 1)
}

// missesObjective reports whether the batch, with tasks that have not started by now, is expected to miss the objective of its
// job. A batch without an objective, or one that goes before all others, never does.
func (b *batch) missesObjective(now time.Time) bool {
	return b.Objective != (model.Objective{}) && !b.urgent && now.Sub(b.arrived) > b.allowedWait()
}

// usefulTime returns how long after its arrival the answer of a batch with an objective is of use.
func (b *batch) usefulTime() time.Duration {
	return time.Duration(b.Objective.Useful * float64(b.Objective.For(b.medianLongestRun)))
}

// lateUsefulTime returns how long the answer of a batch with an objective is of use after the objective has been missed.
func (b *batch) lateUsefulTime() time.Duration {
	return b.usefulTime() - b.Objective.For(b.medianLongestRun)
}

// usefulUntil returns the time after which the answer of a batch is of no use: a multiple of the
// objective for a whole job, and at most the deadline.
func (b *batch) usefulUntil() time.Time {
	useful := b.arrived.Add(b.usefulTime())
	if !b.Whole || useful.After(b.Deadline) {
		return b.Deadline
	}
	return useful
}
