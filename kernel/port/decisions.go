package port

import (
	"time"

	"redwingpulley/kernel/model"
)

// Decision is one routing or placement decision.
type Decision struct {
	At         time.Time
	Kind       string // "routing" of a job to pools, or "placement" of a task on an endpoint.
	Job        model.JobID
	Task       int // Index of the task; -1 when the decision is about more than one.
	Pool       string
	Endpoint   model.EndpointID // "" when none was chosen.
	Why        string
	PassedOver int // Candidates that were not chosen.
}

// Decisions logs decisions and keeps the newest.
type Decisions interface {
	Record(decision Decision)
	// Recent returns the newest decisions, the newest last.
	Recent() []Decision
}
