package model

import (
	"math"
	"time"
)

// MaxTasksPerJob is the largest number of tasks in one job.
const MaxTasksPerJob = 160

// Needs are the resources that a task requires of the worker that runs it. The same type holds
// resources that a worker has or has left.
type Needs struct {
	MilliCores   int // Thousandths of a core.
	MemoryMB     int
	Accelerators int
}

// FitsIn reports whether a task with these needs can run on a worker that has the given resources.
func (n Needs) FitsIn(has Needs) bool {
	return n.MilliCores <= has.MilliCores && n.MemoryMB <= has.MemoryMB && n.Accelerators <= has.Accelerators
}

// Minus returns n minus other, resource by resource. The result may be negative.
func (n Needs) Minus(other Needs) Needs {
	return Needs{
		MilliCores:   n.MilliCores - other.MilliCores,
		MemoryMB:     n.MemoryMB - other.MemoryMB,
		Accelerators: n.Accelerators - other.Accelerators,
	}
}

// Plus returns the sum of n and other, resource by resource.
func (n Needs) Plus(other Needs) Needs {
	return Needs{
		MilliCores:   n.MilliCores + other.MilliCores,
		MemoryMB:     n.MemoryMB + other.MemoryMB,
		Accelerators: n.Accelerators + other.Accelerators,
	}
}

// DividedBy returns n divided by count, resource by resource.
func (n Needs) DividedBy(count int) Needs {
	return Needs{MilliCores: n.MilliCores / count, MemoryMB: n.MemoryMB / count, Accelerators: n.Accelerators / count}
}

// Negated returns the resources with the opposite signs.
func (n Needs) Negated() Needs { return Needs{}.Minus(n) }

// CountFitting returns how many times the resources of each fit into n. It returns math.MaxInt
// when each requires no resources.
func (n Needs) CountFitting(each Needs) int {
	count := math.MaxInt
	for _, r := range [...][2]int{
		{n.MilliCores, each.MilliCores}, {n.MemoryMB, each.MemoryMB}, {n.Accelerators, each.Accelerators},
	} {
		if available, needed := r[0], r[1]; needed > 0 {
			count = min(count, max(available, 0)/needed)
		}
	}
	return count
}

// MilliCoresPerCore converts whole cores, the unit of the product's own interfaces, to thousandths.
const MilliCoresPerCore = 1000

// Max returns the larger of n and other in each resource.
func (n Needs) Max(other Needs) Needs {
	return Needs{
		MilliCores:   max(n.MilliCores, other.MilliCores),
		MemoryMB:     max(n.MemoryMB, other.MemoryMB),
		Accelerators: max(n.Accelerators, other.Accelerators),
	}
}

// Task is one unit of work. Its TaskID is made of its job's id and its index.
type Task struct {
	Index    int
	Payload  []byte        // Opaque to the dispatcher.
	Declared time.Duration // Run time declared by the caller; 0 when it declared none.
	Needs    Needs
	Losses   []Loss `json:",omitempty"` // Endpoints that have crashed, or may have, under earlier runs of the task.
}

// Loss is an endpoint that has crashed, or may have, under a run of a task.
type Loss struct {
	Endpoint EndpointID // The incarnation of the endpoint.
	Crashed  bool       // It is certain that the endpoint had started the run and has crashed.
}

// Job is a set of tasks that succeeds or fails as a whole: its outcome holds the answers of all tasks
// or a failure.
type Job struct {
	ID       JobID
	Service  ServiceID
	Team     TeamID
	Deadline time.Time // Zero if the caller set none, until the profile's default is applied.
	Tasks    []Task
	Digest   uint64 // Hash of the submission; distinguishes a resend from another body under the same id.

	// Key is the caller's own id of the job; "" when it has none. A submission with the key of a job
	// that is running or complete joins that job.
	Key string `json:",omitempty"`
	// MaxFailures is the number of runs of a task that may fail before its job fails. 0 means that
	// each task may be started only once, however that start ends.
	MaxFailures int `json:",omitempty"`
	// Objective is the latency objective of the job; the zero value means none.
	Objective Objective `json:",omitzero"`
	// Priority is that of the job's route, from 0, the most urgent, to MaxPriority.
	Priority int `json:",omitempty"`
	// Submitted is when the first member got the job; its objective counts from then. The zero value
	// means that it is not known.
	Submitted time.Time `json:",omitzero"`
	// Attached is set when the job is cancelled once its caller disconnects.
	Attached bool `json:",omitempty"`
}

// Objective is a latency objective that grows with a job's own work: Stretch times the run time of
// its longest task, plus Slack.
type Objective struct {
	Stretch float64
	Slack   time.Duration
	Useful  float64 // Multiple of the objective after which an answer is of no use any more.
}

// For returns the latency objective of a job whose longest task has the given run time.
func (o Objective) For(run time.Duration) time.Duration {
	return scaled(run, o.Stretch) + min(o.Slack, maxObjective)
}

// maxObjective bounds each part of an objective, so that their sums do not overflow.
const maxObjective = 24 * time.Hour

// scaled returns a multiple of a duration, bounded by maxObjective in both directions.
func scaled(d time.Duration, factor float64) time.Duration {
	bound := float64(maxObjective)
	return time.Duration(min(max(factor*float64(d), -bound), bound))
}

// UsefulFor returns the time in which the answer of a job has to come to be of use, given the run time of its longest task.
func (o Objective) UsefulFor(run time.Duration) time.Duration { return scaled(o.For(run), o.Useful) }

// State is the state of a job as its caller sees it.
type State string

// States of a job.
const (
	StateRunning  State = "running"
	StateComplete State = "complete"
	StateFailed   State = "failed"
)

// RunState is what a failure says about whether any of the failed work may have run.
type RunState string

// Run states. NotRun guarantees that none of the work ran; MayHaveRun covers every other case,
// including those in which nothing is known.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
)

// Reason is a code for why a job, batch or task failed or was refused.
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
	ReasonWithdrawn      Reason = "withdrawn" // The caller has cancelled the job by its key.
	ReasonTaskFailed     Reason = "task_failed"
	ReasonOwnerLost      Reason = "owner_lost"
	ReasonOwnerRestarted Reason = "owner_restarted"
	ReasonExpired        Reason = "job_id_expired"
	ReasonConflict       Reason = "job_id_conflict"
	ReasonUnknownJob     Reason = "unknown_job"
	ReasonEndpointLost   Reason = "endpoint_lost"
	ReasonRefused        Reason = "endpoint_refused"
	ReasonUnreachable    Reason = "unreachable"
	ReasonBusy           Reason = "pool_busy"   // The batch would wait longer in the pool than the job's owner expected.
	ReasonMoved          Reason = "owner_moved" // The pool has another owner now.
	// ReasonPaused means that the member stood still after it had accepted the job or batch. The caller may have sent the job to
	// another member meanwhile, so nothing of it starts here any more.
	ReasonPaused Reason = "member_paused"
	// ReasonOutdated means that the batch may have been under way for too long when the pool's owner read it: its sender may have
	// given it up, so nothing of it starts.
	ReasonOutdated Reason = "batch_outdated"
	// ReasonEndpointsCrashed means that endpoints have crashed under runs of a task, and that it is not started again.
	ReasonEndpointsCrashed Reason = "endpoints_crashed"
	ReasonAnswerExpired    Reason = "answer_expired"  // The job completed; its answers are no longer kept.
	ReasonUnknownService   Reason = "unknown_service" // No endpoint announced the service and no profile names it.
	ReasonDeadlineLimit    Reason = "deadline_limit"  // The deadline is later than the profile allows.
	// ReasonEvacuated means that operators have had the data centre of the pool evacuated, or all data centres with pools of the service.
	ReasonEvacuated   Reason = "evacuated"
	ReasonUnknownTeam Reason = "unknown_team" // The profile's quotas do not list the team.
)

// Outcome is a job's state as its caller sees it. Answers are in the order of the tasks and are set
// only when the job is complete; Run and Reason are set only when it failed.
type Outcome struct {
	Job        JobID
	State      State
	Run        RunState
	Reason     Reason
	RetryAfter time.Duration // Time after which the caller is advised to retry; 0 when there is no advice.
	Answers    [][]byte
}

// Completed returns the outcome of a job that ended with an answer for each task.
func Completed(job JobID, answers [][]byte) Outcome {
	return Outcome{Job: job, State: StateComplete, Answers: answers}
}

// Failed returns the outcome of a job that ended without answers.
func Failed(job JobID, run RunState, reason Reason) Outcome {
	return Outcome{Job: job, State: StateFailed, Run: run, Reason: reason}
}

// Running returns the outcome of a job that has not ended.
func Running(job JobID) Outcome {
	return Outcome{Job: job, State: StateRunning}
}
