package port

import (
	"time"

	"redwingpulley/kernel/model"
)

// DecisionKind is the kind of a decision.
type DecisionKind string

// Kinds of decisions.
const (
	DecidedPlan              DecisionKind = "plan"          // The pools of a job were chosen.
	DecidedJobRefusal        DecisionKind = "refusal"       // A job was refused before any of it was sent to a pool.
	DecidedReplan            DecisionKind = "replan"        // Whether and to which pools a part that a pool refused is sent again.
	DecidedBatchAcceptance   DecisionKind = "batch_taken"   // A pool accepted a batch.
	DecidedBatchRefusal      DecisionKind = "batch_refused" // A pool refused a batch.
	DecidedBatchCancellation DecisionKind = "batch_cut"     // A pool cancelled the tasks of a batch that had not ended.
	DecidedSend              DecisionKind = "task_sent"     // An endpoint was chosen for a task.
)

// Decision is one routing or placement decision with the data that it was based on.
type Decision struct {
	At   time.Time
	Kind DecisionKind

	Job      model.JobID
	Key      string // The caller's own id of the job.
	Part     int    // Number of the part of the job that goes to one pool.
	Task     int    // Index of the task; -1 when the decision concerns more than one.
	Attempt  int    // Number of the attempt at the task.
	Tasks    int    // Number of tasks that the decision concerns.
	Pool     string
	Pools    string           // Pools of a plan, separated by commas.
	Endpoint model.EndpointID // "" when none was chosen.

	Revision  model.Revision // Revision of the configuration that a plan is based on.
	Slots     int            // Slots of the pool, or of all pools of a plan's service.
	Free      int            // Number of these slots that are free.
	Waiting   int            // Tasks queued in the pool, or in all pools of a plan's service.
	Age       time.Duration  // Age of the oldest load report that a plan is based on.
	Ahead     time.Duration  // Estimated run time of the pool's queued tasks divided by its slots.
	Left      time.Duration  // Time until the deadline.
	Objective time.Duration  // Latency objective of a batch's job, as the pool estimates it; 0 for none.
	Priority  int            // Priority of a batch's job.
	InTime    bool           // Whether a batch or task can still meet the objective, or its deadline if there is none.
	Queued    time.Duration  // Time for which the task has been queued.

	Reason     model.Reason // Reason of a refusal or cancellation.
	RetryAfter time.Duration
	Why        string // Explanation for people.
	PassedOver int    // Number of candidates that were not chosen.

	Factor float64 `json:",omitempty"` // Estimated run time at the endpoint over that at a typical one of the pool; 0 when speeds are not learned.
}

// Decisions logs decisions and retains the most recent ones.
type Decisions interface {
	// Record logs a decision and retains it.
	Record(decision Decision)
	// Recent returns the most recent decisions, the newest last.
	Recent() []Decision
}
