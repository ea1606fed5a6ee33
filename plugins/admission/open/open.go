// Package open is an admission policy that admits all work up to the queue's limit. It is a baseline
// for comparison.
package open

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const retryAfter = time.Second // Retry delay that is advised when the queue is full.

// Policy is the open admission policy. It has no settings.
type Policy struct{}

// Admit refuses only a batch that no endpoint can run or that the queue has no room for.
func (Policy) Admit(r port.AdmissionRequest) port.Verdict {
	switch {
	case r.Slots == 0:
		return port.Verdict{Reason: model.ReasonNoEndpoint}
	case !r.Fits:
		return port.Verdict{Reason: model.ReasonNeverFits}
	case r.QueuedTasks > 0 && r.QueuedTasks+r.Tasks > r.QueueLimit:
		return port.Verdict{Reason: model.ReasonOverload, RetryAfter: retryAfter}
	}
	return port.Verdict{Admit: true}
}
