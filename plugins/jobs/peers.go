package jobs

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/wait"
)

// Methods that members call on each other.
const (
	methodSubmit = "jobs/submit"
	methodLookup = "jobs/lookup"
	methodCancel = "jobs/cancel"
)

const (
	replyMargin = time.Second            // How long after the end of its wait an owner's reply may still arrive.
	retryPause  = 100 * time.Millisecond // Pause before a request without a reply is sent again.
	defaultWait = time.Minute            // Wait for the job's end in a lookup or cancellation without a deadline.
)

// submission is a job on the wire. The deadline is sent as the remaining time, so that the members'
// clocks need not agree.
type submission struct {
	ID          model.JobID     `json:"id"`
	Service     model.ServiceID `json:"service"`
	Team        model.TeamID    `json:"team"`
	RemainingMS int64           `json:"remaining_ms"`
	Digest      uint64          `json:"digest"`
	Tasks       []wireTask      `json:"tasks"`
}

// wireTask is a task on the wire.
type wireTask struct {
	Payload    json.RawMessage `json:"payload,omitempty"`
	DeclaredMS int64           `json:"declared_ms,omitempty"`
	Needs      model.Needs     `json:"needs"`
}

// lookupRequest is the request of a lookup or a cancellation on the wire.
type lookupRequest struct {
	ID     model.JobID `json:"id"`
	WaitMS int64       `json:"wait_ms"`
}

// wireOutcome is the outcome of a job on the wire.
type wireOutcome struct {
	Job          model.JobID       `json:"job"`
	State        model.State       `json:"state"`
	Run          model.RunState    `json:"run,omitempty"`
	Reason       model.Reason      `json:"reason,omitempty"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
	Answers      []json.RawMessage `json:"answers,omitempty"`
}

func (j *Jobs) registerHandlers() {
	port.Handle(j.peers, methodSubmit, j.handleSubmit)
	port.Handle(j.peers, methodLookup, j.handleLookup)
	port.Handle(j.peers, methodCancel, j.handleCancel)
	port.Handle(j.peers, methodByKey, j.handleByKey)
}

func (j *Jobs) handleSubmit(ctx context.Context, _ model.NodeID, s submission) wireOutcome {
	job := model.Job{
		ID: s.ID, Service: s.Service, Team: s.Team, Digest: s.Digest,
		Deadline: time.Now().Add(time.Duration(s.RemainingMS) * time.Millisecond),
	}
	for i, t := range s.Tasks {
		job.Tasks = append(job.Tasks, model.Task{
			Index: i, Payload: t.Payload, Needs: t.Needs, Declared: time.Duration(t.DeclaredMS) * time.Millisecond,
		})
	}
	return encodeOutcome(j.Submit(ctx, job))
}

func (j *Jobs) handleLookup(ctx context.Context, _ model.NodeID, l lookupRequest) wireOutcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.WaitMS)*time.Millisecond)
	defer cancel()
	return encodeOutcome(j.Lookup(ctx, l.ID))
}

func (j *Jobs) handleCancel(ctx context.Context, _ model.NodeID, l lookupRequest) wireOutcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.WaitMS)*time.Millisecond)
	defer cancel()
	return encodeOutcome(j.Cancel(ctx, l.ID))
}

// forwardSubmit forwards a submission to the member that owns the job.
func (j *Jobs) forwardSubmit(ctx context.Context, owner model.NodeID, job model.Job) model.Outcome {
	s := submission{ID: job.ID, Service: job.Service, Team: job.Team, Digest: job.Digest}
	for _, t := range job.Tasks {
		s.Tasks = append(s.Tasks, wireTask{t.Payload, t.Declared.Milliseconds(), t.Needs})
	}
	return j.forward(ctx, owner, methodSubmit, job.ID, job.Deadline, func() any {
		s.RemainingMS = time.Until(job.Deadline).Milliseconds()
		return s
	})
}

// forwardLookup forwards a lookup or cancellation to the member that owns the job. The owner waits for
// the job's end until the context's deadline, so that a reply saying that the job still runs comes
// only after that deadline.
func (j *Jobs) forwardLookup(ctx context.Context, owner model.NodeID, method string, id model.JobID) model.Outcome {
	waitUntil, bounded := ctx.Deadline()
	if !bounded {
		waitUntil = time.Now().Add(defaultWait)
	}
	return j.forward(ctx, owner, method, id, waitUntil, func() any {
		return lookupRequest{ID: id, WaitMS: max(0, time.Until(waitUntil).Milliseconds())}
	})
}

// forward sends a request to the owner until it replies, over a new connection at each retry. All
// methods are idempotent, since the owner knows the job by its id. It gives up replyMargin after
// replyDue, the time at which the owner has to reply, or when the caller goes away, or when membership
// no longer considers the owner alive.
func (j *Jobs) forward(ctx context.Context, owner model.NodeID, method string, id model.JobID, replyDue time.Time, request func() any) model.Outcome {
	ctx, cancel := replaceDeadline(ctx, replyDue.Add(replyMargin))
	defer cancel()
	callCtx := ctx
	for {
		var reply wireOutcome
		sentAt := time.Now()
		if j.peers.Call(callCtx, owner, method, request(), &reply) == port.Delivered {
			return decodeOutcome(reply)
		}
		if !j.isAlive(owner) || !wait.For(ctx, retryPause) {
			return model.Failed(id, model.MayHaveRun, model.ReasonOwnerLost)
		}
		callCtx = port.FreshConnection(ctx, sentAt)
	}
}

// replaceDeadline returns a context that ends at the given time or when ctx is cancelled, but not at
// the deadline of ctx.
func replaceDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithDeadline(context.WithoutCancel(ctx), at)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return bounded, func() {
		stop()
		cancel()
	}
}

// isAlive reports whether membership considers the member alive.
func (j *Jobs) isAlive(id model.NodeID) bool {
	return slices.ContainsFunc(j.membership.Alive(), func(n port.Node) bool { return n.ID == id })
}

func encodeOutcome(o model.Outcome) wireOutcome {
	w := wireOutcome{Job: o.Job, State: o.State, Run: o.Run, Reason: o.Reason, RetryAfterMS: o.RetryAfter.Milliseconds()}
	for _, a := range o.Answers {
		w.Answers = append(w.Answers, a)
	}
	return w
}

func decodeOutcome(w wireOutcome) model.Outcome {
	o := model.Outcome{
		Job: w.Job, State: w.State, Run: w.Run, Reason: w.Reason,
		RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
	}
	for _, a := range w.Answers {
		o.Answers = append(o.Answers, a)
	}
	return o
}
