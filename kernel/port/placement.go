package port

import (
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
)

// Placement is a policy for where tasks run. It is pure: it decides from its arguments alone.
type Placement interface {
	// Plan splits a job over pools. An empty plan means that no pool can take it.
	Plan(job model.Job, pools []model.PoolLoad, near model.DataCentre, random *rand.Rand) Plan
	// NewPlacer returns the state by which a pool's owner picks endpoints.
	NewPlacer(seed uint64) Placer
}

// Plan says which tasks of a job go to which pool, and why.
type Plan struct {
	Parts  []PlanPart
	Reason string
}

// PlanPart is the tasks, by index, that go to one pool.
type PlanPart struct {
	Pool  model.PoolID
	Owner model.NodeID
	Tasks []int
}

// EndpointLoad is what a Placer knows of an endpoint.
type EndpointLoad struct {
	ID    model.EndpointID
	Slots int
	Free  int // May be negative when a Placer overcommits.
	Has   model.Needs
}

// Placer picks endpoints for the tasks of one pool. It is used under the pool's lock.
type Placer interface {
	// Update sets an endpoint's load; an endpoint without slots is set to 0 slots.
	Update(load EndpointLoad)
	// Remove forgets an endpoint.
	Remove(id model.EndpointID)
	// Pick returns the endpoint for the next task, or false to leave it in the pool's queue.
	Pick(needs model.Needs) (id model.EndpointID, why string, ok bool)
}

// Admission is a policy for which work a pool takes on. It is pure.
type Admission interface {
	Admit(request AdmissionRequest) Verdict
}

// AdmissionRequest is a batch and the state of the pool that it would join.
type AdmissionRequest struct {
	Tasks     int
	Remaining time.Duration // Until the deadline.
	RunTime   time.Duration // Estimate for the longest task of the batch.
	Work      time.Duration // Estimate for all tasks of the batch together.

	Slots       int
	Free        int
	QueuedTasks int
	QueuedWork  time.Duration // Estimate for the tasks that wait.
	QueueLimit  int
}

// Verdict is the answer of an Admission; Reason and RetryAfter are set when it refuses.
type Verdict struct {
	Admit      bool
	Reason     model.Reason
	RetryAfter time.Duration
}
