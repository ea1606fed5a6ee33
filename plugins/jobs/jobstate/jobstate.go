package jobstate

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// A batch's deadline lies before its job's deadline by a fraction of the remaining time, at most
// maxDeadlineMargin, so that the batch's result arrives in time to tell whether any task ran.
const (
	deadlineMarginDivisor = 50
	maxDeadlineMargin     = 15 * time.Millisecond
)

// maxFreeParts bounds the replans that ReasonMoved makes free: they are free only while the job has
// sent at most this many parts. While members disagree on who owns a pool, a part must not go back
// and forth between them for ever.
const maxFreeParts = 8

// Job is the state of one job. Create one with New.
type Job struct {
	digest    uint64
	retention Retention
	outcome   model.Outcome
	endedAt   time.Time
	*progress // nil once the job has ended, so that its tasks can be garbage collected.
}

// progress is the state of a job that has not ended.
type progress struct {
	job  model.Job
	self model.NodeID

	inFlight       map[int]port.PlanPart // Batches that were sent and have not ended, by part number.
	awaitingReplan map[int]refusal       // Parts that a pool refused and that wait for a new plan, by part number.
	avoid          []model.PoolID        // Pools that are not asked again for a part of this job.
	moved          []model.PoolID        // Pools that refused a part with ReasonMoved, once for each time.
	nextPart       int                   // Part number of the next batch to be sent.

	answers    [][]byte
	unanswered int      // Number of tasks without an answer.
	mayHaveRun bool     // At least one task ran or may have run.
	failure    *failure // Why the job fails; nil while it can still complete.
}

// refusal is a part that its pool refused.
type refusal struct {
	tasks   []int // Indices of the part's tasks in the job.
	failure failure
}

// failure is why a job or one of its parts failed, and when the caller may try again.
type failure struct {
	reason     model.Reason
	retryAfter time.Duration
}

// New returns the state of a job that has not been planned yet. self is the member that owns it.
func New(job model.Job, self model.NodeID, retention Retention) *Job {
	return &Job{
		digest:    job.Digest,
		retention: retention,
		outcome:   model.Running(job.ID),
		progress: &progress{
			job:            job,
			self:           self,
			inFlight:       make(map[int]port.PlanPart),
			awaitingReplan: make(map[int]refusal),
			answers:        make([][]byte, len(job.Tasks)),
			unanswered:     len(job.Tasks),
		},
	}
}

// Digest returns the hash of the submission that created the job.
func (j *Job) Digest() uint64 { return j.digest }

// Outcome returns the job's current outcome, which is StateRunning until the job ends.
func (j *Job) Outcome() model.Outcome { return j.outcome }

// NextTimer returns the time at which the next Elapsed event is due: the deadline of a running job,
// then the end of the retention of its answers, then that of its outcome.
func (j *Job) NextTimer() time.Time {
	if j.outcome.State == model.StateRunning {
		return j.job.Deadline
	}
	if j.outcome.State == model.StateComplete {
		return j.endedAt.Add(j.retention.Answers)
	}
	return j.retention.Until
}

// Step applies an event and returns the actions that follow from it. An ended job ignores all events
// but Elapsed.
func (j *Job) Step(now time.Time, event Event) Effects {
	var fx Effects
	if j.outcome.State != model.StateRunning {
		if _, elapsed := event.(Elapsed); elapsed {
			j.expireRetention(now, &fx)
		}
		return fx
	}
	switch e := event.(type) {
	case Planned:
		for _, part := range e.Plan.Parts {
			j.sendBatch(now, part, &fx)
		}
	case Refused:
		j.fail(now, failure{e.Reason, e.RetryAfter}, &fx)
	case BatchEnded:
		j.handleBatchEnd(now, e.Result, &fx)
	case Replanned:
		j.handleReplan(now, e, &fx)
	case Cancelled:
		j.fail(now, failure{reason: model.ReasonCancelled}, &fx)
	case Withdrawn:
		j.fail(now, failure{reason: model.ReasonWithdrawn}, &fx)
	case Elapsed:
		j.handleDeadline(now, &fx)
	}
	return fx
}

// batchDeadline returns the deadline of a batch that is sent now.
func (j *Job) batchDeadline(now time.Time) time.Time {
	remaining := max(j.job.Deadline.Sub(now), 0)
	return j.job.Deadline.Add(-min(remaining/deadlineMarginDivisor, maxDeadlineMargin))
}

// sendBatch sends a part's tasks to its pool as a new batch, under the next part number.
func (j *Job) sendBatch(now time.Time, part port.PlanPart, fx *Effects) {
	batch := model.Batch{
		ID:       model.BatchID{Job: j.job.ID, Part: j.nextPart},
		Pool:     part.Pool,
		Origin:   j.self,
		Team:     j.job.Team,
		Deadline: j.batchDeadline(now),
		MaxWait:  part.MaxWait,

		Key:         j.job.Key,
		MaxFailures: j.job.MaxFailures,
		Objective:   j.job.Objective,
		Whole:       j.hasObjective() && len(part.Tasks) == len(j.job.Tasks),
		Priority:    j.job.Priority,
		Submitted:   j.job.Submitted,
	}
	if j.hasObjective() && !batch.Whole {
		batch.JobTasks = len(j.job.Tasks)
	}
	for _, index := range part.Tasks {
		batch.Tasks = append(batch.Tasks, j.job.Tasks[index])
	}
	j.inFlight[j.nextPart] = part
	j.nextPart++
	fx.Sends = append(fx.Sends, Send{Owner: part.Owner, Batch: batch})
}

func (j *Job) hasObjective() bool { return j.job.Objective != (model.Objective{}) }

// handleBatchEnd records the result of a batch. Results of batches that are not in flight are ignored.
func (j *Job) handleBatchEnd(now time.Time, result model.BatchResult, fx *Effects) {
	part, inFlight := j.inFlight[result.ID.Part]
	if !inFlight {
		return
	}
	delete(j.inFlight, result.ID.Part)
	if result.Refused {
		j.requestReplan(now, result, part, fx)
		return
	}
	failed := j.recordResults(part, result)
	switch {
	case failed != "":
		j.fail(now, failure{reason: failed}, fx)
	case j.failure != nil:
		j.endFailedIfNoneInFlight(now, fx)
	case j.unanswered == 0:
		j.end(now, model.Completed(j.job.ID, j.answers), fx)
	}
}

// requestReplan requests a new plan for a refused part, none of whose tasks started. A job that has
// failed already is not planned again, nor one that its caller has cancelled at the pool's owner.
func (j *Job) requestReplan(now time.Time, result model.BatchResult, part port.PlanPart, fx *Effects) {
	if j.failure != nil {
		j.endFailedIfNoneInFlight(now, fx)
		return
	}
	if result.Reason == model.ReasonWithdrawn {
		j.fail(now, failure{reason: result.Reason}, fx)
		return
	}
	j.awaitingReplan[result.ID.Part] = refusal{part.Tasks, failure{result.Reason, result.RetryAfter}}
	switch result.Reason {
	case model.ReasonBusy:
	case model.ReasonMoved:
		j.moved = append(j.moved, part.Pool)
	default:
		j.avoid = append(j.avoid, part.Pool)
	}
	sub := j.job
	sub.Tasks = nil
	for _, index := range part.Tasks {
		sub.Tasks = append(sub.Tasks, j.job.Tasks[index])
	}
	fx.Replan = &Replan{Part: result.ID.Part, Job: sub, Avoid: slices.Clone(j.avoid), Moved: repeated(j.moved), Reason: result.Reason, Free: j.isFreeReplan(result.Reason)}
	fx.Replan.Unaccepted = j.hasObjective() && len(j.inFlight) == 0 && !j.mayHaveRun && j.unanswered == len(j.job.Tasks)
}

// repeated returns the pools that are in the list more than once.
func repeated(pools []model.PoolID) (twice []model.PoolID) {
	for i, pool := range pools {
		if slices.Contains(pools[:i], pool) && !slices.Contains(twice, pool) {
			twice = append(twice, pool)
		}
	}
	return twice
}

// isFreeReplan reports whether a part that was refused for the given reason is sent again without a
// charge to the retry budget. ReasonBusy is free because a part can be refused for it only once,
// ReasonMoved because it is not the pool that refused the part but a member that no longer owns it, and
// ReasonEvacuated because operators ordered it; each pool refuses a job for that once, since it is avoided afterwards.
func (j *Job) isFreeReplan(reason model.Reason) bool {
	return reason == model.ReasonBusy || reason == model.ReasonEvacuated || reason == model.ReasonMoved && j.nextPart <= maxFreeParts
}

// handleReplan sends a refused part by its new plan. The job fails when there is none.
func (j *Job) handleReplan(now time.Time, e Replanned, fx *Effects) {
	r, waiting := j.awaitingReplan[e.Part]
	if !waiting {
		return
	}
	delete(j.awaitingReplan, e.Part)
	if len(e.Plan.Parts) == 0 {
		j.fail(now, r.failure, fx)
		return
	}
	for _, part := range e.Plan.Parts {
		indices := make([]int, 0, len(part.Tasks))
		for _, position := range part.Tasks {
			indices = append(indices, r.tasks[position])
		}
		part.Tasks = indices
		part.MaxWait = 0 // A part is refused for its expected wait (ReasonBusy) only once.
		j.sendBatch(now, part, fx)
	}
}

// recordResults records the results of a part's tasks and returns why the part failed, or "". Results
// of other tasks and second results of a task are ignored. Tasks without a result may have run.
func (j *Job) recordResults(part port.PlanPart, result model.BatchResult) (failed model.Reason) {
	recorded := make(map[int]bool, len(part.Tasks))
	for _, r := range result.Results {
		if recorded[r.Index] || !slices.Contains(part.Tasks, r.Index) {
			continue // A second result, or not a task of this part.
		}
		recorded[r.Index] = true
		switch {
		case r.Done:
			j.recordAnswer(r)
		case failed == "":
			failed = r.Reason
		}
		j.mayHaveRun = j.mayHaveRun || r.Done || r.Run != model.NotRun
	}
	if len(recorded) < len(part.Tasks) {
		j.mayHaveRun = true
		return model.ReasonOwnerLost
	}
	return failed
}

// recordAnswer keeps the answer of a task; an empty one becomes the JSON value null.
func (j *Job) recordAnswer(r model.TaskResult) {
	invariant.Check(j.answers[r.Index] == nil, "one-answer", "job %s task %d answered twice", j.job.ID, r.Index)
	j.answers[r.Index] = r.Answer
	if len(r.Answer) == 0 {
		j.answers[r.Index] = []byte("null")
	}
	j.unanswered--
}

// fail makes the job fail; of several causes the first counts. Batches in flight are cancelled, and
// the job ends when they have: only their results tell whether any task ran.
func (j *Job) fail(now time.Time, cause failure, fx *Effects) {
	if j.failure == nil {
		j.failure = &cause
		clear(j.awaitingReplan)
		fx.Cancels = append(fx.Cancels, slices.Sorted(maps.Keys(j.inFlight))...)
	}
	j.endFailedIfNoneInFlight(now, fx)
}

// endFailedIfNoneInFlight ends a job that has failed, unless batches are still in flight.
func (j *Job) endFailedIfNoneInFlight(now time.Time, fx *Effects) {
	if len(j.inFlight) == 0 {
		j.endFailed(now, fx)
	}
}

// handleDeadline ends the job at its deadline. Batches that are still in flight may have run. An
// Elapsed event before the deadline is ignored.
func (j *Job) handleDeadline(now time.Time, fx *Effects) {
	if j.job.Deadline.After(now) {
		return
	}
	j.fail(now, failure{reason: model.ReasonDeadline}, fx)
	if fx.Ended {
		return
	}
	j.mayHaveRun = true
	j.endFailed(now, fx)
}

// endFailed ends the job with the outcome of a failure.
func (j *Job) endFailed(now time.Time, fx *Effects) {
	run := model.NotRun
	if j.mayHaveRun {
		run = model.MayHaveRun
	}
	outcome := model.Failed(j.job.ID, run, j.failure.reason)
	outcome.RetryAfter = j.failure.retryAfter
	j.end(now, outcome, fx)
}

// end makes the outcome final.
func (j *Job) end(now time.Time, outcome model.Outcome, fx *Effects) {
	invariant.Check(outcome.State == model.StateFailed || len(j.inFlight)+j.unanswered == 0, "complete",
		"job %s complete with %d parts in flight and %d tasks unanswered", j.job.ID, len(j.inFlight), j.unanswered)
	j.outcome = outcome
	j.endedAt = now
	j.progress = nil
	fx.Ended = true
}

// expireRetention drops the answers of an ended job at the end of their retention, and reports the
// job as gone at the end of the retention of its outcome.
func (j *Job) expireRetention(now time.Time, fx *Effects) {
	if j.outcome.State == model.StateComplete && !now.Before(j.endedAt.Add(j.retention.Answers)) {
		j.outcome = model.Failed(j.outcome.Job, model.MayHaveRun, model.ReasonAnswerExpired)
	}
	fx.Gone = j.outcome.State == model.StateFailed && !now.Before(j.retention.Until)
}
