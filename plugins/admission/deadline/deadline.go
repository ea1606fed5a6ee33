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
// longer than its MaxWait, or that is too likely to end after its deadline. A batch that has to wait is
// assumed to start all of its tasks after the wait.
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
	var wait time.Duration
	if r.QueuedTasks+r.Tasks > r.Free { // Otherwise queued tasks wait for particular endpoints, and leave room for the batch.
		wait = estimateWait(r)
	}
	if r.EndWithin(r.Remaining-wait) < minInTime(wait, r.Remaining) {
		return refuse(wait + r.Expected - r.Remaining)
	}
	return port.Verdict{Admit: true}
}

// minInTime returns the probability of ending in time with which a batch is admitted. It is a half without a wait: the slots would
// otherwise be idle. The more of its time a batch would wait, the more others want the same slots, and a batch
// that misses its deadline has taken them for nothing. With a half for all batches, a simulated pool with 1.5
// times the work that it can do wasted 1.8% of its slot time on batches that ended late; see docs/design/run-times.md.
func minInTime(wait, remaining time.Duration) float64 {
	return 0.5 + 0.5*float64(wait)/float64(max(remaining, 1))
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
