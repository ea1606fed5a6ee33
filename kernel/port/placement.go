package port

import (
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
)

// Placement is a policy for where tasks run. It is pure: it decides from its arguments alone.
type Placement interface {
	// Plan splits a job over pools.
	Plan(request PlanRequest) Plan
	// NewPlacer returns the state by which a pool's owner picks endpoints.
	NewPlacer(seed uint64) Placer
}

// PlanRequest is a job that asks for pools, and what its owner knows of them.
type PlanRequest struct {
	Job         model.Job
	Pools       []model.PoolLoad // Of the job's service.
	Self        model.NodeID     // Owner of the job; its own pools cost no messages.
	Near        model.DataCentre // Of the job's owner.
	MessageCost time.Duration    // Response time that one message fewer is worth.
	Random      *rand.Rand
}

// Plan says which tasks of a job go to which pool, and why. A plan without parts refuses the job.
type Plan struct {
	Parts   []PlanPart
	Reason  string
	Refused model.Reason // Of a plan without parts.
}

// PlanPart is the tasks, by index, that go to one pool.
type PlanPart struct {
	Pool  model.PoolID
	Owner model.NodeID
	Tasks []int
	// MaxWait is the longest expected wait of a task for which the pool should take the part; a pool
	// that is busier than the plan knew refuses it, once. 0 is any wait.
	MaxWait time.Duration
}

// EndpointLoad is what a Placer knows of an endpoint.
type EndpointLoad struct {
	ID    model.EndpointID
	Slots int
	Free  int         // May be negative when a Placer overcommits.
	Left  model.Needs // Resources that its tasks have not taken.
}

// Placer picks endpoints for the tasks of one pool. It is used under the pool's lock.
type Placer interface {
	// Update sets an endpoint's load; an endpoint that gets no work has 0 slots.
	Update(load EndpointLoad)
	// Remove forgets an endpoint.
	Remove(id model.EndpointID)
	// Pick returns the endpoint for the next task, or false to leave it in the pool's queue. A task
	// whose endpoint has no free slot is held for it, and sent when a slot there is free.
	Pick(request PickRequest) (Choice, bool)
}

// PickRequest is a task that asks for an endpoint.
type PickRequest struct {
	Now   time.Time
	Needs model.Needs
	Run   time.Duration    // Estimated run time.
	Avoid model.EndpointID // Refused the task before; "" when none did.
}

// Choice is an endpoint that was picked, and why.
type Choice struct {
	Endpoint model.EndpointID
	Why      string
}

// Admission is a policy for which work a pool takes on. It is pure.
type Admission interface {
	Admit(request AdmissionRequest) Verdict
}

// AdmissionRequest is a batch and the state of the pool that it would join. Times of several tasks
// are sums: slot time rather than time by the clock.
type AdmissionRequest struct {
	Tasks     int
	Remaining time.Duration // Until the deadline.
	Expected  time.Duration // Run time that the batch's longest task exceeds in one of two cases.
	RunTime   time.Duration // Run time that it exceeds in one of twenty cases.
	Work      time.Duration // Estimate for all tasks of the batch together.
	Wait      time.Duration // Expected until the batch's last task starts; 0 while all find a slot at once.
	MaxWait   time.Duration // Longest such wait with which the job meets its objective; 0 is any.
	Fits      bool          // Each task fits on some endpoint of the pool.

	Slots       int
	Free        int
	Ahead       time.Duration // Estimate for what the pool works off before the batch's last task, by fair shares.
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
