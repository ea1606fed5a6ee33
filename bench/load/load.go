// Package load is an open-loop load generator: it sends the jobs of a trace at their intended times,
// whether or not earlier jobs have been answered, and measures each response time from the intended time
// of sending. So a slow system can't slow the load down and hide its own delays (coordinated omission).
package load

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"redwingpulley/bench/caller"
	"redwingpulley/bench/standin"
	"redwingpulley/bench/trace"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/wait"
)

// Wrong is the outcome of a job that was answered as complete, but not with one answer to each of its
// own tasks.
const Wrong caller.Outcome = "wrong"

// Result is the result of one job of the trace.
type Result struct {
	Index    int // Position of the job in the trace.
	ID       string
	Outcome  caller.Outcome
	Reason   string
	Response time.Duration // Measured from the intended time of sending.
	Resends  int
}

// Runner sends the jobs of a trace to the entry VMs in turn (round robin), as a load balancer does.
type Runner struct {
	Client *caller.Client
	// Tickets makes the runner request an id for each job before the run, so that a job can be resent
	// after a lost answer. Otherwise a job gets its id when it is sent, as behind a load balancer, and
	// goes to the next entry VM when one refuses it because it is draining.
	Tickets bool
	// Progress is called after the end of each job, by one goroutine at a time; nil for none.
	Progress func(done, all int)
}

// Run sends all jobs and returns their results in the order of the trace. It cancels the jobs that are
// cancelled in the trace, provided that they have tickets. An error means that the tickets could not be
// requested or that the context ended first.
func (r Runner) Run(ctx context.Context, jobs []trace.Job) ([]Result, error) {
	ids := make([]string, len(jobs))
	if r.Tickets {
		var err error
		if ids, err = r.tickets(ctx, len(jobs)); err != nil {
			return nil, err
		}
	}
	run := run{Runner: r, results: make([]Result, len(jobs)), startedAt: time.Now()}
	for i, job := range jobs {
		if !wait.For(ctx, time.Until(run.startedAt.Add(job.At()))) {
			break
		}
		run.inFlight.Go(func() { run.sendJob(ctx, i, ids[i], job) })
	}
	run.inFlight.Wait()
	return run.results, ctx.Err()
}

// tickets requests an id for each job from the entry VM to which the job is sent first.
func (r Runner) tickets(ctx context.Context, jobs int) ([]string, error) {
	ids := make([]string, jobs)
	entries := r.Client.Entries
	for e, entry := range entries {
		entryIDs, err := r.Client.Tickets(ctx, entry, (jobs-e+len(entries)-1)/len(entries))
		if err != nil {
			return nil, err
		}
		for k, id := range entryIDs {
			ids[e+k*len(entries)] = id
		}
	}
	return ids, nil
}

// run is one execution of a trace.
type run struct {
	Runner
	startedAt time.Time
	inFlight  sync.WaitGroup // Jobs that were sent and have not ended.
	results   []Result       // Each element is written by the goroutine of its job.

	mu    sync.Mutex
	ended int // Number of jobs that have ended.
}

// sendJob sends one job, cancels it when the trace says so, and stores its result.
func (r *run) sendJob(ctx context.Context, index int, id string, job trace.Job) {
	if job.CancelMS > 0 && id != "" {
		entry := r.Client.Entries[index%len(r.Client.Entries)]
		timer := time.AfterFunc(time.Duration(job.CancelMS)*time.Millisecond, func() { r.Client.Cancel(ctx, entry, id) })
		defer timer.Stop()
	}
	got := r.submit(ctx, index, Submission(id, job))
	id = got.JobID
	result := Result{
		Index: index, ID: id, Outcome: got.Outcome, Reason: got.Reason, Resends: got.Resends,
		Response: time.Since(r.startedAt.Add(job.At())),
	}
	if got.Outcome == caller.Complete && !AnswersMatch(id, len(job.RunMS), got.Answers) {
		result.Outcome, result.Reason = Wrong, "answers of other tasks"
	}
	r.results[index] = result
	r.reportProgress()
}

// submit submits the job. A job without a ticket goes to one entry VM after another while they refuse
// it because they are draining.
func (r *run) submit(ctx context.Context, index int, job caller.Job) (got caller.Result) {
	for entry := range r.Client.Entries {
		got = r.Client.Submit(ctx, index+entry, job)
		if job.ID != "" || got.Outcome != caller.NotRun || got.Reason != string(model.ReasonDraining) {
			break
		}
	}
	return got
}

// reportProgress counts a job that has ended.
func (r *run) reportProgress() {
	if r.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
	r.Progress(r.ended, len(r.results))
}

// Submission returns the request body for a job of the trace. The payloads make stand-ins run the tasks
// for their true run times.
func Submission(id string, job trace.Job) caller.Job {
	submission := caller.Job{ID: id, Service: job.Service, Team: job.Team, DeadlineMS: job.DeadlineMS}
	for i, ms := range job.RunMS {
		raw, _ := json.Marshal(standin.Payload{SleepMS: ms}) // Encoding these two fields can't fail.
		task := caller.Task{Payload: raw}
		if len(job.DeclaredMS) > 0 {
			task.RunMS = job.DeclaredMS[i]
		}
		submission.Tasks = append(submission.Tasks, task)
	}
	return submission
}

// AnswersMatch reports whether the answers are those that stand-ins gave to the job's own tasks: exactly
// one for each task, in order.
func AnswersMatch(id string, tasks int, answers []json.RawMessage) bool {
	if len(answers) != tasks {
		return false
	}
	for i, raw := range answers {
		var answer standin.Answer
		if json.Unmarshal(raw, &answer) != nil || answer.Task != id+"."+strconv.Itoa(i) {
			return false
		}
	}
	return true
}
