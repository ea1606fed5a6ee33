// Package deadline admits a batch when the pool can end it before its deadline: after the queued
// work has been shared out over the slots, the batch's own longest task must still fit.
package deadline

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Policy is the admission. It has no settings.
type Policy struct{}

const (
	// minRetryAfter is the least advice, so that callers do not come back at once.
	minRetryAfter = 50 * time.Millisecond
	// marginShare is the part of the estimated wait that is added to it, since it is an estimate.
	marginShare = 8
)

// Admit refuses what no endpoint can run, what the queue has no room for, and what is estimated to
// end behind its deadline. A batch that finds free slots is judged by the expected run time alone,
// one that has to wait by a cautious one: slots that it takes in vain are missing to others.
func (Policy) Admit(r port.AdmissionRequest) port.Verdict {
	switch {
	case r.Slots == 0:
		return port.Verdict{Reason: model.ReasonNoEndpoint}
	case !r.Fits:
		return port.Verdict{Reason: model.ReasonNeverFits}
	case r.QueuedTasks > 0 && r.QueuedTasks+r.Tasks > r.QueueLimit:
		return refuse(untilRoom(r))
	}
	if r.MaxWait > 0 && r.Wait > r.MaxWait {
		return refuse(r.Wait - r.MaxWait)
	}
	late := r.Expected - r.Remaining
	if r.QueuedTasks > 0 || r.Tasks > r.Free {
		late = estimateWait(r) + r.RunTime - r.Remaining
	}
	if late > 0 {
		return refuse(late)
	}
	return port.Verdict{Admit: true}
}

func refuse(retryAfter time.Duration) port.Verdict {
	return port.Verdict{Reason: model.ReasonOverload, RetryAfter: max(retryAfter, minRetryAfter)}
}

// estimateWait returns how long the batch's last task waits for a slot.
func estimateWait(r port.AdmissionRequest) time.Duration {
	own := r.Work - r.Work/time.Duration(max(r.Tasks, 1))
	wait := (r.Ahead + own) / time.Duration(r.Slots)
	return wait + wait/marginShare
}

// untilRoom returns how long the queue takes to make room for the batch.
func untilRoom(r port.AdmissionRequest) time.Duration {
	excess := r.QueuedTasks + r.Tasks - r.QueueLimit
	perTask := r.QueuedWork / time.Duration(r.QueuedTasks)
	return time.Duration(excess) * perTask / time.Duration(r.Slots)
}
