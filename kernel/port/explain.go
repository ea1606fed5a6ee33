package port

import (
	"time"

	"redwingpulley/kernel/model"
)

// Planner shows where a job would go now.
type Planner interface {
	// Explain plans the job as if it had just been submitted to this VM. Nothing is sent, reserved, counted or charged.
	Explain(job model.Job) Explanation
}

// Explanation is what would become of a job. A job that would be refused has no parts.
type Explanation struct {
	Revision   model.Revision // Revision of the profiles.
	Pools      []model.PoolLoad
	Evacuated  []model.DataCentre // Evacuated data centres: their pools are in no plan, whatever their loads say.
	Parts      []ExplainedPart
	Refused    model.Reason
	RetryAfter time.Duration
	Why        string
}

// ExplainedPart is a part of a planned job, with the verdict of its pool if this VM owns the pool.
type ExplainedPart struct {
	PlanPart
	Owned   bool
	Verdict Verdict
}

// PoolJudge tells what the pools that this VM owns would decide on a batch.
type PoolJudge interface {
	// Judge returns the verdict that the batch would get now, without accepting it; owned is false when this VM has no such pool.
	Judge(batch model.Batch) (verdict Verdict, owned bool)
}
