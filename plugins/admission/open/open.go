// Package open admits all work up to the queue's limit, as a baseline for comparison.
package open

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const retryAfter = time.Second // Advice when the queue is full.

// Policy is the admission. It has no settings.
type Policy struct{}

// Admit refuses what no endpoint can run and what the queue has no room for.
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
