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

// Admit refuses when the queue is full or when the estimated end lies behind the deadline.
func (Policy) Admit(r port.AdmissionRequest) port.Verdict {
	if r.Slots == 0 {
		return port.Verdict{Reason: model.ReasonNoEndpoint}
	}
	wait := estimateWait(r)
	if r.QueuedTasks > 0 && r.QueuedTasks+r.Tasks > r.QueueLimit {
		return port.Verdict{Reason: model.ReasonOverload, RetryAfter: wait}
	}
	if late := wait + r.RunTime - r.Remaining; late > 0 {
		return port.Verdict{Reason: model.ReasonOverload, RetryAfter: late}
	}
	return port.Verdict{Admit: true}
}

// estimateWait returns how long the batch's last task waits for a slot.
func estimateWait(r port.AdmissionRequest) time.Duration {
	if r.QueuedTasks == 0 && r.Tasks <= r.Free {
		return 0
	}
	rest := max(r.Work-r.RunTime, 0)
	return (r.QueuedWork + rest) / time.Duration(r.Slots)
}
