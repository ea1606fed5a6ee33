// Package load sends the jobs of a trace at their times, whether or not earlier ones have been
// answered, and measures each response from the time at which the job was meant to be sent. So a
// slow system cannot make the load slower and hide its own delays (coordinated omission).
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

// Wrong is the outcome of a job that was answered, but not with the answers to its own tasks.
const Wrong caller.Outcome = "wrong"

// Result is how one job of the trace ended.
type Result struct {
	Index    int // In the trace.
	ID       string
	Outcome  caller.Outcome
	Reason   string
	Response time.Duration // From the intended time of sending.
	Resends  int
}

// Runner sends a trace to entry VMs. Jobs go to the entry VMs in turn, as from a balancer.
type Runner struct {
	Client *caller.Client
	// Tickets has each job sent under an id that was taken before the run, so that a lost answer can
	// be asked for. Otherwise a job gets its id when it is sent, as behind a balancer, and is sent to
	// the next entry VM when one refuses it because it drains.
	Tickets bool
	// Progress is called after each job's end, by one goroutine at a time; nil for none.
	Progress func(done, all int)
}

// Run sends all jobs, and cancels those with tickets that the trace says are cancelled. It returns
// their results in the order of the trace. An error means that the tickets could not be taken or
// that the context ended first.
func (r Runner) Run(ctx context.Context, jobs []trace.Job) ([]Result, error) {
	ids := make([]string, len(jobs))
	if r.Tickets {
		var err error
		if ids, err = r.tickets(ctx, len(jobs)); err != nil {
			return nil, err
		}
	}
	run := run{Runner: r, results: make([]Result, len(jobs)), begin: time.Now()}
	for i, job := range jobs {
		if !wait.For(ctx, time.Until(run.begin.Add(job.At()))) {
			break
		}
		run.open.Go(func() { run.send(ctx, i, ids[i], job) })
	}
	run.open.Wait()
	return run.results, ctx.Err()
}

// tickets takes an id for each job from the entry VM that it is sent to first.
func (r Runner) tickets(ctx context.Context, jobs int) ([]string, error) {
	ids := make([]string, jobs)
	entries := r.Client.Entries
	for e, entry := range entries {
		mine, err := r.Client.Tickets(ctx, entry, (jobs-e+len(entries)-1)/len(entries))
		if err != nil {
			return nil, err
		}
		for k, id := range mine {
			ids[e+k*len(entries)] = id
		}
	}
	return ids, nil
}

type run struct {
	Runner
	begin   time.Time
	open    sync.WaitGroup
	results []Result // Each written by its own job's goroutine.

	mu   sync.Mutex
	done int
}

func (r *run) send(ctx context.Context, index int, id string, job trace.Job) {
	if job.CancelMS > 0 && id != "" {
		entry := r.Client.Entries[index%len(r.Client.Entries)]
		timer := time.AfterFunc(time.Duration(job.CancelMS)*time.Millisecond, func() { r.Client.Cancel(ctx, entry, id) })
		defer timer.Stop()
	}
	got := r.submit(ctx, index, Submission(id, job))
	id = got.JobID
	result := Result{
		Index: index, ID: id, Outcome: got.Outcome, Reason: got.Reason, Resends: got.Resends,
		Response: time.Since(r.begin.Add(job.At())),
	}
	if got.Outcome == caller.Complete && !Own(id, len(job.RunMS), got.Answers) {
		result.Outcome, result.Reason = Wrong, "answers of other tasks"
	}
	r.results[index] = result
	r.count()
}

// submit sends the job, without a ticket to one entry VM after another while they drain.
func (r *run) submit(ctx context.Context, index int, job caller.Job) (got caller.Result) {
	for entry := range r.Client.Entries {
		got = r.Client.Submit(ctx, index+entry, job)
		if job.ID != "" || got.Outcome != caller.NotRun || got.Reason != string(model.ReasonDraining) {
			break
		}
	}
	return got
}

func (r *run) count() {
	if r.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	r.Progress(r.done, len(r.results))
}

// Submission returns the body of a job of the trace; its tasks have stand-ins wait for their true
// run times.
func Submission(id string, job trace.Job) caller.Job {
	submission := caller.Job{ID: id, Service: job.Service, Team: job.Team, DeadlineMS: job.DeadlineMS}
	for i, ms := range job.RunMS {
		raw, _ := json.Marshal(standin.Payload{SleepMS: ms}) // A number always encodes.
		task := caller.Task{Payload: raw}
		if len(job.DeclaredMS) > 0 {
			task.RunMS = job.DeclaredMS[i]
		}
		submission.Tasks = append(submission.Tasks, task)
	}
	return submission
}

// Own reports whether the answers are those of stand-ins to the job's own tasks, all of them and
// in order.
func Own(id string, tasks int, answers []json.RawMessage) bool {
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
