package jobstate

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Job is the state of one job. Create one with New.
type Job struct {
	digest    uint64
	retention Retention
	outcome   model.Outcome
	ended     time.Time
	*progress // nil once the job has ended, which frees its tasks.
}

// progress is what is known of a job that runs.
type progress struct {
	job  model.Job
	self model.NodeID

	open    map[int]port.PlanPart // Batches that were sent and have not ended, by part number.
	refused map[int]refusal       // Parts that wait for a new plan.
	avoid   []model.PoolID
	next    int // Part number of the next batch.

	answers [][]byte
	missing int      // Tasks without an answer.
	ran     bool     // Some task ran or may have run.
	failure *failure // Set once the job cannot complete any more.
}

type refusal struct {
	tasks   []int // Indices in the job.
	failure failure
}

type failure struct {
	reason     model.Reason
	retryAfter time.Duration
}

// New returns the state of a job that self owns and that has not been planned.
func New(job model.Job, self model.NodeID, retention Retention) *Job {
	return &Job{
		digest:    job.Digest,
		retention: retention,
		outcome:   model.Running(job.ID),
		progress: &progress{
			job:     job,
			self:    self,
			open:    make(map[int]port.PlanPart),
			refused: make(map[int]refusal),
			answers: make([][]byte, len(job.Tasks)),
			missing: len(job.Tasks),
		},
	}
}

// Digest returns the hash of the job's submission.
func (j *Job) Digest() uint64 { return j.digest }

// Outcome returns the job's outcome so far.
func (j *Job) Outcome() model.Outcome { return j.outcome }

// Wake returns when Elapsed is due next.
func (j *Job) Wake() time.Time {
	if j.outcome.State == model.StateRunning {
		return j.job.Deadline
	}
	if j.outcome.State == model.StateComplete {
		return j.ended.Add(j.retention.Answers)
	}
	return j.retention.Until
}

// Step applies an event and returns what has to be done.
func (j *Job) Step(now time.Time, event Event) Effects {
	var fx Effects
	if j.outcome.State != model.StateRunning {
		if _, elapsed := event.(Elapsed); elapsed {
			j.forget(now, &fx)
		}
		return fx
	}
	switch e := event.(type) {
	case Planned:
		for _, part := range e.Plan.Parts {
			j.send(now, part, &fx)
		}
	case Refused:
		j.fail(now, failure{e.Reason, e.RetryAfter}, &fx)
	case BatchEnded:
		j.batchEnded(now, e.Result, &fx)
	case Replanned:
		j.replanned(now, e, &fx)
	case Cancelled:
		j.fail(now, failure{reason: model.ReasonCancelled}, &fx)
	case Elapsed:
		j.expired(now, &fx)
	}
	return fx
}

// A batch ends before its job's deadline by a part of the time that is left, so that the job can
// tell in time whether it ran.
const (
	settlePart = 50
	maxSettle  = 15 * time.Millisecond
)

func (j *Job) batchDeadline(now time.Time) time.Time {
	left := max(j.job.Deadline.Sub(now), 0)
	return j.job.Deadline.Add(-min(left/settlePart, maxSettle))
}

func (j *Job) send(now time.Time, part port.PlanPart, fx *Effects) {
	batch := model.Batch{
		ID:       model.BatchID{Job: j.job.ID, Part: j.next},
		Pool:     part.Pool,
		Origin:   j.self,
		Team:     j.job.Team,
		Deadline: j.batchDeadline(now),
		MaxWait:  part.MaxWait,

		Key:         j.job.Key,
		MaxFailures: j.job.MaxFailures,
		Objective:   j.job.Objective,
		Whole:       j.job.Objective != (model.Objective{}) && len(part.Tasks) == len(j.job.Tasks),
	}
	for _, index := range part.Tasks {
		batch.Tasks = append(batch.Tasks, j.job.Tasks[index])
	}
	j.open[j.next] = part
	j.next++
	fx.Sends = append(fx.Sends, Send{Owner: part.Owner, Batch: batch})
}

func (j *Job) batchEnded(now time.Time, result model.BatchResult, fx *Effects) {
	part, open := j.open[result.ID.Part]
	if !open {
		return
	}
	delete(j.open, result.ID.Part)
	if result.Refused {
		j.partRefused(now, result, part, fx)
		return
	}
	failed := j.take(part, result)
	switch {
	case failed != "":
		j.fail(now, failure{reason: failed}, fx)
	case j.failure != nil:
		j.settle(now, fx)
	case j.missing == 0:
		j.end(now, model.Completed(j.job.ID, j.answers), fx)
	}
}

// partRefused asks for another plan. None of the part's tasks started.
func (j *Job) partRefused(now time.Time, result model.BatchResult, part port.PlanPart, fx *Effects) {
	if j.failure != nil {
		j.settle(now, fx)
		return
	}
	j.refused[result.ID.Part] = refusal{part.Tasks, failure{result.Reason, result.RetryAfter}}
	if result.Reason != model.ReasonMoved && result.Reason != model.ReasonBusy {
		j.avoid = append(j.avoid, part.Pool)
	}
	sub := j.job
	sub.Tasks = nil
	for _, index := range part.Tasks {
		sub.Tasks = append(sub.Tasks, j.job.Tasks[index])
	}
	fx.Replan = &Replan{Part: result.ID.Part, Job: sub, Avoid: slices.Clone(j.avoid), Reason: result.Reason, Free: j.free(result.Reason)}
}

// freeParts bounds the parts of a job that a moved pool costs nothing: where members do not agree on a
// pool's owner, parts must not go back and forth for ever.
const freeParts = 8

// free reports whether a part that was refused for the reason is sent elsewhere without a part of the
// retry budget: a part is refused for being busy once, and a moved pool refuses nothing itself.
func (j *Job) free(reason model.Reason) bool {
	return reason == model.ReasonBusy || reason == model.ReasonMoved && j.next <= freeParts
}

func (j *Job) replanned(now time.Time, e Replanned, fx *Effects) {
	r, waits := j.refused[e.Part]
	if !waits {
		return
	}
	delete(j.refused, e.Part)
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
		part.MaxWait = 0 // A part is refused for being busy only once.
		j.send(now, part, fx)
	}
}

// take records the results of a part's tasks and returns why the part failed, or "".
func (j *Job) take(part port.PlanPart, result model.BatchResult) (failed model.Reason) {
	taken := make(map[int]bool, len(part.Tasks))
	for _, r := range result.Results {
		if taken[r.Index] || !slices.Contains(part.Tasks, r.Index) {
			continue // Not a task of this part.
		}
		taken[r.Index] = true
		switch {
		case r.Done:
			j.answer(r)
		case failed == "":
			failed = r.Reason
		}
		j.ran = j.ran || r.Done || r.Run != model.NotRun
	}
	if len(taken) < len(part.Tasks) {
		j.ran = true
		return model.ReasonOwnerLost
	}
	return failed
}

func (j *Job) answer(r model.TaskResult) {
	invariant.Check(j.answers[r.Index] == nil, "one-answer", "job %s task %d answered twice", j.job.ID, r.Index)
	j.answers[r.Index] = r.Answer
	if len(r.Answer) == 0 {
		j.answers[r.Index] = []byte("null")
	}
	j.missing--
}

// fail gives the job up for the first reason that is given. The parts that are open are cancelled,
// and their ends tell whether anything ran.
func (j *Job) fail(now time.Time, why failure, fx *Effects) {
	if j.failure == nil {
		j.failure = &why
		clear(j.refused)
		fx.Cancels = append(fx.Cancels, slices.Sorted(maps.Keys(j.open))...)
	}
	j.settle(now, fx)
}

// settle ends a job that failed once no part is open.
func (j *Job) settle(now time.Time, fx *Effects) {
	if len(j.open) == 0 {
		j.endFailed(now, fx)
	}
}

// expired ends the job at its deadline; what the open parts did is not known.
func (j *Job) expired(now time.Time, fx *Effects) {
	if j.job.Deadline.After(now) {
		return
	}
	j.fail(now, failure{reason: model.ReasonDeadline}, fx)
	if fx.Ended {
		return
	}
	j.ran = true
	j.endFailed(now, fx)
}

func (j *Job) endFailed(now time.Time, fx *Effects) {
	run := model.NotRun
	if j.ran {
		run = model.MayHaveRun
	}
	outcome := model.Failed(j.job.ID, run, j.failure.reason)
	outcome.RetryAfter = j.failure.retryAfter
	j.end(now, outcome, fx)
}

func (j *Job) end(now time.Time, outcome model.Outcome, fx *Effects) {
	invariant.Check(outcome.State == model.StateFailed || len(j.open)+j.missing == 0, "complete",
		"job %s complete with %d parts open and %d tasks unanswered", j.job.ID, len(j.open), j.missing)
	j.outcome = outcome
	j.ended = now
	j.progress = nil
	fx.Ended = true
}

// forget drops the answers of an ended job, and then the job.
func (j *Job) forget(now time.Time, fx *Effects) {
	if j.outcome.State == model.StateComplete && !now.Before(j.ended.Add(j.retention.Answers)) {
		j.outcome = model.Failed(j.outcome.Job, model.MayHaveRun, model.ReasonAnswerExpired)
	}
	fx.Gone = j.outcome.State == model.StateFailed && !now.Before(j.retention.Until)
}
