// Package jobstate decides for one job: which pools run its tasks, what its answer is, and when it
// is cancelled. A Job is a state machine: the same events give the same effects, and it does no I/O
// and reads no clock.
package jobstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is something that happened to the job.
type Event interface{ event() }

// Planned starts the job by a plan.
type Planned struct{ Plan port.Plan }

// Refused ends the job before it was planned.
type Refused struct {
	Reason     model.Reason
	RetryAfter time.Duration
}

// BatchEnded is the end of one part of the job.
type BatchEnded struct{ Result model.BatchResult }

// Replanned answers a Replan. The plan's tasks are positions in the Replan's job; an empty plan
// says that the part cannot run elsewhere.
type Replanned struct {
	Part int
	Plan port.Plan
}

// Cancelled asks for the end of the job.
type Cancelled struct{}

// Elapsed says that the time returned by Wake has come.
type Elapsed struct{}

func (Planned) event()    {}
func (Refused) event()    {}
func (BatchEnded) event() {}
func (Replanned) event()  {}
func (Cancelled) event()  {}
func (Elapsed) event()    {}

// Effects are what the caller has to carry out.
type Effects struct {
	Sends   []Send
	Cancels []int // Parts that a pool's owner has to end.
	Replan  *Replan
	Ended   bool // The outcome is final.
	Gone    bool // Nothing has to be kept of the job any more.
}

// Send has a pool's owner run a batch.
type Send struct {
	Owner model.NodeID
	Batch model.Batch
}

// Replan asks for a new plan for a part that its pool refused before any task started.
type Replan struct {
	Part   int
	Job    model.Job      // With the tasks of the part alone.
	Avoid  []model.PoolID // Pools that refused a part of this job.
	Reason model.Reason   // Of the refusal.
	Free   bool           // Whether the new plan takes nothing from the retry budget.
}

// Retention says how long an ended job is kept.
type Retention struct {
	Answers time.Duration // From the end, for a caller that asks again.
	Until   time.Time     // When the job's id can start no job any more; the outcome is kept as long.
}
