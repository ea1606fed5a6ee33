package jobs

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/jobstate"
)

// Explain plans the job as start does, and returns the plan with the verdicts of own pools on its parts.
func (j *Jobs) Explain(job model.Job) port.Explanation {
	if job.Deadline.IsZero() {
		job.Deadline = time.Now().Add(j.defaultDeadline(job.Service))
	}
	if j.draining.Load() {
		return port.Explanation{Refused: model.ReasonDraining, Why: "this VM takes no new jobs"}
	}
	d := newDecision(port.DecidedPlan, &job)
	profiles, _ := j.profiles.Current()
	loads := j.pools.Loads(job.Service)
	plan, refused := j.planJob(job, &d, false)
	explanation := port.Explanation{Revision: d.Revision, Pools: loads, Evacuated: profiles.ActiveEvacuations(), Why: plan.Reason}
	if refused != nil {
		explanation.Refused, explanation.RetryAfter, explanation.Why = refused.reason, refused.retryAfter, refused.why
		return explanation
	}
	for i, batch := range batchesOf(job, j.self.ID, plan) {
		part := port.ExplainedPart{PlanPart: plan.Parts[i]}
		part.Verdict, part.Owned = j.judge.Judge(batch)
		explanation.Parts = append(explanation.Parts, part)
	}
	return explanation
}

// batchesOf returns the batches that a job's owner would send for a plan, one for each part.
func batchesOf(job model.Job, self model.NodeID, plan port.Plan) (batches []model.Batch) {
	state := jobstate.Created{Job: job, Self: self}.Machine()
	for _, send := range state.Step(time.Now(), jobstate.Planned{Plan: plan}).Sends {
		batches = append(batches, send.Batch)
	}
	return batches
}
