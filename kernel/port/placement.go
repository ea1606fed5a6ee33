package port

import (
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
)

// Placement is a policy that decides where tasks run. It is pure: its decisions depend on its
// arguments alone.
type Placement interface {
	// Plan assigns the tasks of a job to pools.
	Plan(request PlanRequest) Plan
	// NewPlacer returns a Placer with which a pool's owner picks endpoints; seed is for its random
	// choices.
	NewPlacer(seed uint64) Placer
}

// PlanRequest holds a job to be planned and what its owner knows of the pools.
type PlanRequest struct {
	Job         model.Job
	Pools       []model.PoolLoad // Loads of the pools of the job's service.
	Self        model.NodeID     // Owner of the job; pools that it owns itself cost no messages.
	Near        model.DataCentre // Data centre of the job's owner.
	MessageCost time.Duration    // Increase of the response time that is accepted to save one message.
	Random      *rand.Rand
}

// Plan assigns the tasks of a job to pools and gives the reason. A plan without parts refuses the
// job.
type Plan struct {
	Parts   []PlanPart
	Reason  string
	Refused model.Reason // Why the job is refused; set in a plan without parts.
	// Wait is the expected time until the job's last task starts, behind all work that is queued now. LeastWait is the same
	// if the job waits only for running tasks and its own, as it may by its team's share. A policy that estimates no waits
	// leaves both at 0.
	Wait, LeastWait time.Duration
}

// PlanPart holds the indices of the tasks that go to one pool.
type PlanPart struct {
	Pool  model.PoolID
	Owner model.NodeID
	Tasks []int
	// MaxWait is the longest expected wait of a task with which the pool should accept the part, so
	// that a pool that is busier than the plan assumed refuses it. 0 accepts any wait; a part that
	// was refused is sent again with 0.
	MaxWait time.Duration
}

// EndpointLoad is the load of an endpoint, as reported to a Placer.
type EndpointLoad struct {
	ID    model.EndpointID
	Slots int
	Free  int         // Free slots; negative when the Placer has overcommitted the endpoint.
	Left  model.Needs // Resources of the endpoint that its tasks do not use.
	// Remnant says that a slot is free, but too few resources are left for a task with typical needs. A task that needs less
	// may fit.
	Remnant bool
	// Factor is the time that a run takes at the endpoint over that at a typical endpoint of the pool; 0 means that it is not known.
	Factor float64
}

// Placer picks endpoints for the tasks of one pool. It is called with the pool's lock held.
type Placer interface {
	// Update sets an endpoint's load; an endpoint that gets no work has 0 slots.
	Update(load EndpointLoad)
	// Remove removes an endpoint.
	Remove(id model.EndpointID)
	// Pick returns the endpoint for the next task, or false to leave the task in the pool's queue. If
	// the picked endpoint has no free slot, the task waits for it and is sent once a slot there is
	// free.
	Pick(request PickRequest) (Choice, bool)
}

// PickRequest is a task that needs an endpoint.
type PickRequest struct {
	Now   time.Time
	Needs model.Needs
	Run   time.Duration    // Estimated run time of the task at a typical endpoint.
	Left  time.Duration    // Time until the objective of the task's job ends; 0 means that there is none.
	Ahead int              // Number of tasks that wait, before this one, although endpoints have room.
	Avoid model.EndpointID // Endpoint that refused the task before; "" when none did.
	// Disturbed reports whether an endpoint runs tasks that slow this one down, or the reverse. Such an endpoint is picked only
	// while no other has room. Nil means that none does; a placer may ignore it.
	Disturbed func(model.EndpointID) bool
}

// Choice is the endpoint that was picked and the reason for it.
type Choice struct {
	Endpoint model.EndpointID
	Why      string
	// Waits is set when no endpoint was picked although one has room, since the task is to wait for a faster one: how long it
	// should wait at most.
	Waits time.Duration
}

// Admission is a policy that decides which batches a pool accepts. It is pure: its decisions depend
// on its arguments alone.
type Admission interface {
	Admit(request AdmissionRequest) Verdict
}

// AdmissionRequest describes a batch and the state of the pool that it would join. Work, Ahead and
// QueuedWork are sums of the run times of several tasks: slot time rather than elapsed time.
type AdmissionRequest struct {
	Tasks     int
	Remaining time.Duration // Time until the deadline.
	Expected  time.Duration // Median of the estimated run time of the batch's longest task.
	// EndWithin returns the probability that all tasks of the batch end within a time, when all start at once.
	EndWithin func(time.Duration) float64
	Work      time.Duration // Sum of the estimated run times of all tasks of the batch.
	Wait      time.Duration // Expected time until the batch's last task starts; 0 if there are free slots for all tasks.
	MaxWait   time.Duration // Longest such wait with which the job meets its latency objective; 0 means any.
	Fits      bool          // Whether each task fits on some endpoint of the pool.

	Slots       int
	Free        int
	Ahead       time.Duration // Estimated work that fair sharing among teams puts before the batch's last task.
	QueuedTasks int
	QueuedWork  time.Duration // Sum of the estimated run times of the queued tasks.
	QueueLimit  int
}

// Verdict is the decision of an Admission; Reason and RetryAfter are set when it refuses the batch.
type Verdict struct {
	Admit      bool
	Reason     model.Reason
	RetryAfter time.Duration
}
