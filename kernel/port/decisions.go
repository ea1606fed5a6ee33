package port

import (
	"time"

	"redwingpulley/kernel/model"
)

// DecisionKind says what was decided.
type DecisionKind string

// Kinds of decisions.
const (
	DecidedPlan    DecisionKind = "plan"          // The pools of a job.
	DecidedRefusal DecisionKind = "refusal"       // No pool is asked for the job.
	DecidedReplan  DecisionKind = "replan"        // Where a part goes that a pool refused.
	DecidedTake    DecisionKind = "batch_taken"   // By a pool.
	DecidedBatchNo DecisionKind = "batch_refused" // By a pool.
	DecidedCut     DecisionKind = "batch_cut"     // A pool gives up what has not ended of a part.
	DecidedSend    DecisionKind = "task_sent"     // To an endpoint.
)

// Decision is one routing or placement decision and what it was made from.
type Decision struct {
	At   time.Time
	Kind DecisionKind

	Job      model.JobID
	Key      string // Of the job.
	Part     int
	Task     int // Index of the task; -1 when the decision is about more than one.
	Attempt  int // Of the task.
	Tasks    int // That the decision is about.
	Pool     string
	Pools    string           // Of a plan, separated by commas.
	Endpoint model.EndpointID // "" when none was chosen.

	Revision  model.Revision // Of the configuration that a plan was made by.
	Slots     int            // Of the pool, or of all pools of a plan's service.
	Free      int            // Of these slots.
	Waiting   int            // Tasks that wait there.
	Age       time.Duration  // Of the oldest load that a plan counted with.
	Ahead     time.Duration  // Run time of what waits in the pool, for each of its slots.
	Left      time.Duration  // Until the deadline.
	Objective time.Duration  // Latency objective of a whole job, as the pool estimates it; 0 for none.
	Queued    time.Duration  // For which the task has waited.

	Reason     model.Reason // Of a refusal.
	RetryAfter time.Duration
	Why        string
	PassedOver int // Candidates that were not chosen.
}

// Decisions logs decisions and keeps the newest.
type Decisions interface {
	Record(decision Decision)
	// Recent returns the newest decisions, the newest last.
	Recent() []Decision
}
