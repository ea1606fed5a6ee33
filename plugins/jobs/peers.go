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

// Methods between members.
const (
	methodSubmit = "jobs/submit"
	methodLookup = "jobs/lookup"
	methodCancel = "jobs/cancel"
)

const (
	replyMargin = time.Second            // Of an owner's reply, after the time it waits for.
	askPause    = 100 * time.Millisecond // Before an owner that gave no reply is asked again.
	maxWait     = time.Minute            // Of a cancellation for the end of its job.
)

// submission is a job on the wire; its deadline travels as the time that is left.
type submission struct {
	ID          model.JobID     `json:"id"`
	Service     model.ServiceID `json:"service"`
	Team        model.TeamID    `json:"team"`
	RemainingMS int64           `json:"remaining_ms"`
	Digest      uint64          `json:"digest"`
	Tasks       []wireTask      `json:"tasks"`
}

type wireTask struct {
	Payload    json.RawMessage `json:"payload,omitempty"`
	DeclaredMS int64           `json:"declared_ms,omitempty"`
	Needs      model.Needs     `json:"needs"`
}

type lookup struct {
	ID     model.JobID `json:"id"`
	WaitMS int64       `json:"wait_ms"`
}

type wireOutcome struct {
	Job          model.JobID       `json:"job"`
	State        model.State       `json:"state"`
	Run          model.RunState    `json:"run,omitempty"`
	Reason       model.Reason      `json:"reason,omitempty"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
	Answers      []json.RawMessage `json:"answers,omitempty"`
}

func (j *Jobs) handlePeers() {
	port.Handle(j.peers, methodSubmit, j.serveSubmit)
	port.Handle(j.peers, methodLookup, j.serveLookup)
	port.Handle(j.peers, methodCancel, j.serveCancel)
}

func (j *Jobs) serveSubmit(ctx context.Context, _ model.NodeID, s submission) wireOutcome {
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

func (j *Jobs) serveLookup(ctx context.Context, _ model.NodeID, l lookup) wireOutcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.WaitMS)*time.Millisecond)
	defer cancel()
	return encodeOutcome(j.Lookup(ctx, l.ID))
}

func (j *Jobs) serveCancel(ctx context.Context, _ model.NodeID, l lookup) wireOutcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.WaitMS)*time.Millisecond)
	defer cancel()
	return encodeOutcome(j.Cancel(ctx, l.ID))
}

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

// forwardLookup passes a lookup or cancellation on. The context's deadline is the wait for the end
// of the job; a reply that says that it still runs has to come after it.
func (j *Jobs) forwardLookup(ctx context.Context, owner model.NodeID, method string, id model.JobID) model.Outcome {
	waitUntil, bounded := ctx.Deadline()
	if !bounded {
		waitUntil = time.Now().Add(maxWait)
	}
	return j.forward(ctx, owner, method, id, waitUntil, func() any {
		return lookup{ID: id, WaitMS: max(0, time.Until(waitUntil).Milliseconds())}
	})
}

// forward asks the owner until it replies, over a new connection each time. All methods are
// idempotent: the owner knows the job by its id. It gives up replyMargin after the time by which
// the owner has to reply, when the caller goes away, or when the owner is not thought alive.
func (j *Jobs) forward(ctx context.Context, owner model.NodeID, method string, id model.JobID, due time.Time, request func() any) model.Outcome {
	ctx, cancel := untilGone(ctx, due.Add(replyMargin))
	defer cancel()
	call := ctx
	for {
		var reply wireOutcome
		begun := time.Now()
		if j.peers.Call(call, owner, method, request(), &reply) == port.Delivered {
			return decodeOutcome(reply)
		}
		if !j.thoughtAlive(owner) || !wait.For(ctx, askPause) {
			return model.Failed(id, model.MayHaveRun, model.ReasonOwnerLost)
		}
		call = port.FreshConnection(ctx, begun)
	}
}

// untilGone returns a context that ends at the given time or when ctx is cancelled, but not at the
// deadline of ctx.
func untilGone(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
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

func (j *Jobs) thoughtAlive(id model.NodeID) bool {
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
