// Package deadline is an admission policy that admits a batch when the pool can finish it before its
// deadline: after the queued work has been distributed over the slots, there must be time left to run
// the batch's longest task.
package deadline

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Policy is the deadline admission policy. It has no settings.
type Policy struct{}

const (
	// minRetryAfter is the shortest retry delay that is advised, so that callers do not retry at once.
	minRetryAfter = 50 * time.Millisecond
	// waitMarginDivisor sets the margin of an estimated wait: the wait divided by it is added, since the
	// estimate may be too low.
	waitMarginDivisor = 8
)

// Admit refuses a batch that no endpoint can run, that the queue has no room for, that would wait
// longer than its MaxWait, or that is estimated to end after its deadline. The estimate for a batch
// that finds enough free slots is the expected run time of its longest task. For a batch that has to
// wait it is the wait and a cautious run time, since a batch that misses its deadline has taken its
// slots from others for nothing.
func (Policy) Admit(r port.AdmissionRequest) port.Verdict {
	switch {
	case r.Slots == 0:
		return port.Verdict{Reason: model.ReasonNoEndpoint}
	case !r.Fits:
		return port.Verdict{Reason: model.ReasonNeverFits}
	case r.QueuedTasks > 0 && r.QueuedTasks+r.Tasks > r.QueueLimit:
		return refuse(timeUntilQueueHasRoom(r))
	}
	if r.MaxWait > 0 && r.Wait > r.MaxWait {
		return refuse(r.Wait - r.MaxWait)
	}
	overrun := r.Expected - r.Remaining
	if r.QueuedTasks > 0 || r.Tasks > r.Free {
		overrun = estimateWait(r) + r.RunTime - r.Remaining
	}
	if overrun > 0 {
		return refuse(overrun)
	}
	return port.Verdict{Admit: true}
}

// refuse returns the refusal of a batch because of overload.
func refuse(retryAfter time.Duration) port.Verdict {
	return port.Verdict{Reason: model.ReasonOverload, RetryAfter: max(retryAfter, minRetryAfter)}
}

// estimateWait estimates how long the batch's last task waits for a slot, with a margin.
func estimateWait(r port.AdmissionRequest) time.Duration {
	ownWork := r.Work - r.Work/time.Duration(max(r.Tasks, 1))
	wait := (r.Ahead + ownWork) / time.Duration(r.Slots)
	return wait + wait/waitMarginDivisor
}

// timeUntilQueueHasRoom estimates how long it takes until the queue has room for the batch.
func timeUntilQueueHasRoom(r port.AdmissionRequest) time.Duration {
	excess := r.QueuedTasks + r.Tasks - r.QueueLimit
	perTask := r.QueuedWork / time.Duration(r.QueuedTasks)
	return time.Duration(excess) * perTask / time.Duration(r.Slots)
}
