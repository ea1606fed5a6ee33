// Package jobstate decides for one job: which pools run its tasks, what its answer is, and when it
// is cancelled. A Job is a state machine: the same events give the same effects, and it does no I/O
// and reads no clock.
package jobstate

import (
	"time"

	"redwingpulley/kernel/invariant"
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

// Cancelled asks for the end of the job.
type Cancelled struct{}

// Expired says that the job's deadline has come.
type Expired struct{}

func (Planned) event()    {}
func (Refused) event()    {}
func (BatchEnded) event() {}
func (Cancelled) event()  {}
func (Expired) event()    {}

// Effects are what the caller has to carry out.
type Effects struct {
	Sends   []Send
	Cancels []Cancel
	Ended   bool // The outcome is final.
}

// Send has a pool's owner run a batch.
type Send struct {
	Owner model.NodeID
	Batch model.Batch
}

// Cancel has a pool's owner end a batch.
type Cancel struct {
	Owner model.NodeID
	Pool  model.PoolID
	Batch model.BatchID
}

// Job is the state of one job. Create one with New.
type Job struct {
	job     model.Job
	self    model.NodeID
	outcome model.Outcome
	parts   map[int]port.PlanPart // Batches that have not ended, by part number.
	next    int                   // Part number of the next batch.
	answers [][]byte
	missing int // Tasks without an answer.
}

// New returns the state of a job that self owns and that has not been planned.
func New(job model.Job, self model.NodeID) *Job {
	return &Job{
		job:     job,
		self:    self,
		outcome: model.Running(job.ID),
		parts:   make(map[int]port.PlanPart),
		answers: make([][]byte, len(job.Tasks)),
		missing: len(job.Tasks),
	}
}

// Digest returns the hash of the job's submission.
func (j *Job) Digest() uint64 { return j.job.Digest }

// Outcome returns the job's outcome so far.
func (j *Job) Outcome() model.Outcome { return j.outcome }

// Step applies an event and returns what has to be done.
func (j *Job) Step(_ time.Time, event Event) Effects {
	var fx Effects
	if j.outcome.State != model.StateRunning {
		return fx
	}
	switch e := event.(type) {
	case Planned:
		j.planned(e.Plan, &fx)
	case Refused:
		j.outcome.RetryAfter = e.RetryAfter
		j.fail(model.NotRun, e.Reason, &fx)
	case BatchEnded:
		j.batchEnded(e.Result, &fx)
	case Cancelled:
		j.fail(j.runState(), model.ReasonCancelled, &fx)
	case Expired:
		j.fail(j.runState(), model.ReasonDeadline, &fx)
	}
	return fx
}

func (j *Job) planned(plan port.Plan, fx *Effects) {
	for _, part := range plan.Parts {
		j.send(part, fx)
	}
}

func (j *Job) send(part port.PlanPart, fx *Effects) {
	batch := model.Batch{
		ID:       model.BatchID{Job: j.job.ID, Part: j.next},
		Pool:     part.Pool,
		Origin:   j.self,
		Team:     j.job.Team,
		Deadline: j.job.Deadline,
	}
	for _, index := range part.Tasks {
		batch.Tasks = append(batch.Tasks, j.job.Tasks[index])
	}
	j.parts[j.next] = part
	j.next++
	fx.Sends = append(fx.Sends, Send{Owner: part.Owner, Batch: batch})
}

func (j *Job) batchEnded(result model.BatchResult, fx *Effects) {
	if _, open := j.parts[result.ID.Part]; !open {
		return
	}
	delete(j.parts, result.ID.Part)
	if result.Refused {
		j.outcome.RetryAfter = result.RetryAfter
		j.fail(j.runState(), result.Reason, fx)
		return
	}
	for _, r := range result.Results {
		if !r.Done {
			j.fail(j.runStateAfter(result), r.Reason, fx)
			return
		}
		j.answer(r)
	}
	if j.missing == 0 {
		j.outcome = model.Completed(j.job.ID, j.answers)
		fx.Ended = true
	}
}

func (j *Job) answer(r model.TaskResult) {
	invariant.Check(j.answers[r.Index] == nil, "one-answer", "job %s task %d answered twice", j.job.ID, r.Index)
	j.answers[r.Index] = r.Answer
	if r.Answer == nil {
		j.answers[r.Index] = []byte("null")
	}
	j.missing--
}

// runState tells whether any task may have run: none has while no batch was sent.
func (j *Job) runState() model.RunState {
	if len(j.parts) == 0 && j.missing == len(j.job.Tasks) {
		return model.NotRun
	}
	return model.MayHaveRun
}

func (j *Job) runStateAfter(result model.BatchResult) model.RunState {
	for _, r := range result.Results {
		if r.Done || r.Run != model.NotRun {
			return model.MayHaveRun
		}
	}
	return j.runState()
}

func (j *Job) fail(run model.RunState, reason model.Reason, fx *Effects) {
	retryAfter := j.outcome.RetryAfter
	j.outcome = model.Failed(j.job.ID, run, reason)
	j.outcome.RetryAfter = retryAfter
	fx.Ended = true
	for number, part := range j.parts {
		id := model.BatchID{Job: j.job.ID, Part: number}
		fx.Cancels = append(fx.Cancels, Cancel{Owner: part.Owner, Pool: part.Pool, Batch: id})
	}
}
