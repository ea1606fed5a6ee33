// Package jobstate holds the decisions about one job: which batches it sends to which pools, what
// its outcome is, and when its batches are cancelled. A Job is a deterministic state machine: the
// same events give the same effects, and it does no I/O and reads no clock.
package jobstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is an input of a job's state machine.
type Event interface{ event() }

// Planned starts the job: its tasks are sent to the pools that the plan gives.
type Planned struct{ Plan port.Plan }

// Refused ends the job before any of its tasks was sent to a pool.
type Refused struct {
	Reason     model.Reason
	RetryAfter time.Duration
}

// BatchEnded carries the result of one batch, which is one part of the job.
type BatchEnded struct{ Result model.BatchResult }

// Replanned answers a Replan effect. The plan's task indices are positions in Replan.Job.Tasks; a
// plan without parts says that the part cannot run elsewhere.
type Replanned struct {
	Part int
	Plan port.Plan
}

// Cancelled requests that the job end without its answers.
type Cancelled struct{}

// Withdrawn requests the same for a job that its caller has cancelled by its key.
type Withdrawn struct{}

// Elapsed says that the time returned by NextTimer has come.
type Elapsed struct{}

func (Planned) event()    {}
func (Refused) event()    {}
func (BatchEnded) event() {}
func (Replanned) event()  {}
func (Cancelled) event()  {}
func (Withdrawn) event()  {}
func (Elapsed) event()    {}

// Effects are the actions that the caller has to carry out after a step.
type Effects struct {
	Sends   []Send
	Cancels []int   // Part numbers of the batches to cancel at the owners of their pools.
	Replan  *Replan // Part that needs a new plan; nil when none does.
	Ended   bool    // The outcome is final.
	Gone    bool    // The retention periods are over: the job can be removed.
}

// Send asks the member that owns a pool to run a batch there.
type Send struct {
	Owner model.NodeID
	Batch model.Batch
}

// Replan requests a new plan for a part that its pool refused before any of its tasks started.
type Replan struct {
	Part   int
	Job    model.Job      // The job with only the tasks of this part.
	Avoid  []model.PoolID // Pools that refused a part of this job, other than with ReasonBusy or ReasonMoved.
	Moved  []model.PoolID `json:",omitempty"` // Pools that refused parts of this job with ReasonMoved twice; to be planned for only where no other has room.
	Reason model.Reason   // Why the pool refused the part.
	// Unaccepted says that the job has an objective and that no part of it has been accepted or is under way, so that it can be
	// refused as a whole.
	Unaccepted bool `json:",omitempty"`
	Free       bool // The new plan is not charged to the retry budget.
}

// Retention says how long the outcome of an ended job is kept.
type Retention struct {
	Answers time.Duration // How long after the job's end its answers are kept for a caller that asks again.
	Until   time.Time     // When the job's id can no longer start a job; the outcome without answers is kept until then.
}
