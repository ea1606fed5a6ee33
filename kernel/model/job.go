package model

import (
	"math"
	"time"
)

// MaxTasksPerJob bounds the tasks of one job.
const MaxTasksPerJob = 160

// Needs are what a task asks of the worker that runs it.
type Needs struct {
	MilliCores   int // Thousandths of a core.
	MemoryMB     int
	Accelerators int
}

// Within reports whether a worker that has the given resources can run a task of these needs.
func (n Needs) Within(has Needs) bool {
	return n.MilliCores <= has.MilliCores && n.MemoryMB <= has.MemoryMB && n.Accelerators <= has.Accelerators
}

// Less returns what is left of n when other is taken out of it.
func (n Needs) Less(other Needs) Needs {
	return Needs{
		MilliCores:   n.MilliCores - other.MilliCores,
		MemoryMB:     n.MemoryMB - other.MemoryMB,
		Accelerators: n.Accelerators - other.Accelerators,
	}
}

// Plus returns the sum of both in each resource.
func (n Needs) Plus(other Needs) Needs {
	return Needs{
		MilliCores:   n.MilliCores + other.MilliCores,
		MemoryMB:     n.MemoryMB + other.MemoryMB,
		Accelerators: n.Accelerators + other.Accelerators,
	}
}

// Part returns an equal part of n among count.
func (n Needs) Part(count int) Needs {
	return Needs{MilliCores: n.MilliCores / count, MemoryMB: n.MemoryMB / count, Accelerators: n.Accelerators / count}
}

// Count returns for how many times each n has enough; math.MaxInt when each is nothing.
func (n Needs) Count(each Needs) int {
	count := math.MaxInt
	for _, r := range [...][2]int{
		{n.MilliCores, each.MilliCores}, {n.MemoryMB, each.MemoryMB}, {n.Accelerators, each.Accelerators},
	} {
		if has, one := r[0], r[1]; one > 0 {
			count = min(count, max(has, 0)/one)
		}
	}
	return count
}

// MilliCoresPerCore converts whole cores, as the product's own interfaces count them.
const MilliCoresPerCore = 1000

// Max returns the larger of the two in each resource.
func (n Needs) Max(other Needs) Needs {
	return Needs{
		MilliCores:   max(n.MilliCores, other.MilliCores),
		MemoryMB:     max(n.MemoryMB, other.MemoryMB),
		Accelerators: max(n.Accelerators, other.Accelerators),
	}
}

// Task is one unit of work. Its id follows from its job and index.
type Task struct {
	Index    int
	Payload  []byte        // Opaque to the dispatcher.
	Declared time.Duration // Run time that the caller declared; 0 when it did not.
	Needs    Needs
}

// Job is a set of tasks with one answer: all of them, or a failure.
type Job struct {
	ID       JobID
	Service  ServiceID
	Team     TeamID
	Deadline time.Time // Zero until the profile has given a job its default.
	Tasks    []Task
	Digest   uint64 // Hash of the submission; tells a resend from another body under the same id.

	// Key is the caller's own id of the job; "" when it has none. A submission under the key of a
	// job that runs or is complete joins it.
	Key string `json:",omitempty"`
	// MaxFailures is how many runs of a task may fail before its job does. 0 stands for a task that
	// may be started only once, whatever comes of it.
	MaxFailures int `json:",omitempty"`
	// Objective is the latency objective of the job; the zero value is none.
	Objective Objective `json:",omitzero"`
	// Attached says that the job is cancelled when its caller goes away.
	Attached bool `json:",omitempty"`
}

// Objective is a latency objective that grows with a job's own work: Stretch times the run time of its
// longest task, and Slack more.
type Objective struct {
	Stretch float64
	Slack   time.Duration
	Useful  float64 // Times the objective up to which an answer is of any use.
}

// For returns the objective of a job whose longest task runs for the given time.
func (o Objective) For(run time.Duration) time.Duration {
	return time.Duration(o.Stretch*float64(run)) + o.Slack
}

// State tells how far a job has come.
type State string

// States of a job.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// RunState is what a failure says about whether any of the work ran.
type RunState string

// Run states. NotRun is a promise; what is not known is MayHaveRun.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
)

// Reason tells why a job or task failed.
type Reason string

// Reasons of failures.
const (
	ReasonNeverFits      Reason = "never_fits"
	ReasonQuota          Reason = "quota"
	ReasonOverload       Reason = "overload"
	ReasonDraining       Reason = "draining"
	ReasonNoProfile      Reason = "no_profile"
	ReasonNoEndpoint     Reason = "no_endpoint"
	ReasonDeadline       Reason = "deadline"
	ReasonCancelled      Reason = "cancelled"
	ReasonTaskFailed     Reason = "task_failed"
	ReasonOwnerLost      Reason = "owner_lost"
	ReasonOwnerRestarted Reason = "owner_restarted"
	ReasonExpired        Reason = "job_id_expired"
	ReasonConflict       Reason = "job_id_conflict"
	ReasonUnknownJob     Reason = "unknown_job"
	ReasonEndpointLost   Reason = "endpoint_lost"
	ReasonRefused        Reason = "endpoint_refused"
	ReasonUnreachable    Reason = "unreachable"
	ReasonBusy           Reason = "pool_busy"       // The batch would wait longer in the pool than its origin expected.
	ReasonMoved          Reason = "owner_moved"     // The pool has another owner now.
	ReasonAnswerExpired  Reason = "answer_expired"  // The job completed; its answers are no longer kept.
	ReasonUnknownService Reason = "unknown_service" // No endpoint announced it and no profile names it.
	ReasonDeadlineLimit  Reason = "deadline_limit"  // The profile allows no deadline as long.
	ReasonUnknownTeam    Reason = "unknown_team"    // The profile's quotas do not list it.
)

// Outcome is a job's state as its caller sees it. Answers are in the order of the tasks and are
// there only when the job is complete; Run and Reason only when it failed.
type Outcome struct {
	Job        JobID
	State      State
	Run        RunState
	Reason     Reason
	RetryAfter time.Duration // 0 when there is no advice.
	Answers    [][]byte
}

// Completed returns the outcome of a job that ended with an answer for each task.
func Completed(job JobID, answers [][]byte) Outcome {
	return Outcome{Job: job, State: StateComplete, Answers: answers}
}

// Failed returns the outcome of a job that ended without its answers.
func Failed(job JobID, run RunState, reason Reason) Outcome {
	return Outcome{Job: job, State: StateFailed, Run: run, Reason: reason}
}

// Running returns the outcome of a job that has not ended.
func Running(job JobID) Outcome {
	return Outcome{Job: job, State: StateRunning}
}
