package jobs

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/jobs/jobstate"
)

// entry is a job that this member owns, with what is needed to run it and to answer its callers.
type entry struct {
	created     *jobstate.Created // nil once the job's creation has been recorded, or when steps are not recorded.
	state       *jobstate.Job
	steps       uint64 // Number of steps of the state machine so far.
	submittedAt time.Time
	tombstone   bool // The id was cancelled before a job was submitted under it.
	key         string
	logFields   logFields
	pauses      uint64        // port.Liveness.Pauses when the job was submitted.
	callers     int           // Number of submissions that wait for the job's end.
	end         chan struct{} // Closed when the job's outcome is final.
	timer       *time.Timer
	cancels     map[int]context.CancelFunc // Cancel functions of the parts in flight, by part number.
}

// Submit starts the job, joins it when its id is known, or forwards it to the member that owns it, and
// returns its outcome.
func (j *Jobs) Submit(ctx context.Context, job model.Job) model.Outcome {
	if job.ID == "" {
		job.ID = j.idForKey(job.Key)
	}
	if job.Submitted.IsZero() {
		job.Submitted = j.now()
	}
	if job.Deadline.IsZero() {
		job.Deadline = time.Now().Add(j.defaultDeadline(job.Service))
	}
	parts, ok := job.ID.Parse()
	if !ok {
		return model.Failed(job.ID, model.NotRun, model.ReasonUnknownJob)
	}
	if parts.Owner != j.self.ID {
		event.JobForwarded.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.Owner, parts.Owner))
		return j.forwardSubmit(ctx, parts.Owner, job)
	}
	if refusal, refused := j.refuseForeignID(job.ID, parts); refused {
		return refusal
	}
	return j.submitOwned(ctx, job, parts)
}

// defaultDeadline returns the time that the service's profile gives a job submitted without a deadline.
func (j *Jobs) defaultDeadline(service model.ServiceID) time.Duration {
	profiles, _ := j.profiles.Current()
	profile, ok := profiles.For(service)
	if !ok {
		profile = model.BuiltInProfile() // Any value will do: the job is going to be refused.
	}
	return profile.DefaultDeadline
}

// refuseForeignID refuses ids of another incarnation of this member and ids that it never minted. A
// job of an earlier incarnation may have run.
func (j *Jobs) refuseForeignID(id model.JobID, parts model.JobIDParts) (model.Outcome, bool) {
	if parts.Incarnation != j.self.Incarnation {
		return model.Failed(id, model.MayHaveRun, model.ReasonOwnerRestarted), true
	}
	if !j.idGenerator.issued(parts) {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob), true
	}
	return model.Outcome{}, false
}

// submitOwned starts a job of this member when its id is new, and otherwise joins it. It waits for the
// outcome.
func (j *Jobs) submitOwned(ctx context.Context, job model.Job, parts model.JobIDParts) model.Outcome {
	now := time.Now()
	remaining := j.ticketLifetime() - j.idGenerator.age(parts, now)
	var e *entry
	var refusal model.Outcome
	created := false
	j.jobs.Do(job.ID, func(jobs map[model.JobID]*entry) {
		known := false
		if e, known = jobs[job.ID]; known {
			return
		}
		if refusal = j.refuseNewJob(job.ID, remaining); refusal.State != "" {
			return
		}
		created = true
		e = j.newEntry(job, now, remaining)
		jobs[job.ID] = e
	})
	switch {
	case e == nil:
		return refusal
	case created:
		j.logTaken(&job)
		if !j.withdrawIfCancelled(&job) {
			j.start(job)
		}
	case e.state.Digest() != job.Digest && !e.tombstone:
		return model.Failed(job.ID, model.NotRun, model.ReasonConflict)
	default:
		j.logJoined(&job, e)
	}
	return j.waitAsCaller(ctx, job, e)
}

// refuseNewJob refuses an id that has no entry when the id has expired, since its job may have run and
// its outcome may have been removed, and while this process drains. The zero Outcome is no refusal.
func (j *Jobs) refuseNewJob(id model.JobID, remaining time.Duration) model.Outcome {
	if remaining <= 0 {
		return model.Failed(id, model.MayHaveRun, model.ReasonExpired)
	}
	if j.draining.Load() {
		return model.Failed(id, model.NotRun, model.ReasonDraining)
	}
	return model.Outcome{}
}

// newEntry returns the entry of a new job whose id can start a job for the remaining time, and starts
// its timer.
func (j *Jobs) newEntry(job model.Job, now time.Time, remaining time.Duration) *entry {
	answers := time.Duration(j.settings.AnswersMS) * time.Millisecond
	id := job.ID // The timer's closure must not keep the job's tasks in memory.
	created := jobstate.Created{Job: job, Self: j.self.ID, Retention: jobstate.Retention{Answers: answers, Until: now.Add(remaining)}}
	e := &entry{
		key:         job.Key,
		logFields:   logFields{job.Service, job.Team, len(job.Tasks), job.Deadline},
		state:       created.Machine(),
		submittedAt: now,
		pauses:      j.liveness.Pauses(),
		end:         make(chan struct{}),
		cancels:     make(map[int]context.CancelFunc),
	}
	if j.recording() {
		e.created = &created
	}
	e.timer = time.AfterFunc(e.state.NextTimer().Sub(now), func() { j.step(id, jobstate.Elapsed{}) })
	return e
}

func (j *Jobs) ticketLifetime() time.Duration {
	return time.Duration(j.settings.TicketMS) * time.Millisecond
}

// wait returns the job's final outcome, or its current one when the context ends first.
func (j *Jobs) wait(ctx context.Context, id model.JobID, e *entry) model.Outcome {
	select {
	case <-e.end:
	case <-ctx.Done():
	}
	outcome := model.Running(id)
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	return outcome
}

// Lookup returns the outcome of a job from the member that owns it, and waits for the job's end until
// the context ends.
func (j *Jobs) Lookup(ctx context.Context, id model.JobID) model.Outcome {
	parts, outcome, answered := j.answerElsewhere(ctx, methodLookup, id)
	if answered {
		return outcome
	}
	if e, known := j.jobs.Get(id); known {
		return j.wait(ctx, id, e)
	}
	if j.idGenerator.age(parts, time.Now()) >= j.ticketLifetime() {
		return model.Failed(id, model.MayHaveRun, model.ReasonExpired)
	}
	return model.Failed(id, model.NotRun, model.ReasonUnknownJob)
}

// Cancel cancels a job at the member that owns it and returns its outcome.
func (j *Jobs) Cancel(ctx context.Context, id model.JobID) model.Outcome {
	parts, outcome, answered := j.answerElsewhere(ctx, methodCancel, id)
	if answered {
		return outcome
	}
	j.addTombstone(id, parts)
	j.step(id, jobstate.Cancelled{})
	return j.Lookup(ctx, id)
}

// answerElsewhere answers a request for a job that this incarnation cannot own: it forwards the request to the
// member that owns the job, or refuses it. answered is false when the id is one that this incarnation has minted.
func (j *Jobs) answerElsewhere(ctx context.Context, method string, id model.JobID) (parts model.JobIDParts, outcome model.Outcome, answered bool) {
	parts, ok := id.Parse()
	if !ok {
		return parts, model.Failed(id, model.NotRun, model.ReasonUnknownJob), true
	}
	if parts.Owner != j.self.ID {
		return parts, j.forwardLookup(ctx, parts.Owner, method, id), true
	}
	outcome, answered = j.refuseForeignID(id, parts)
	return parts, outcome, answered
}

// addTombstone adds an entry for an id that has none, so that a submission that arrives after the
// cancellation of its id starts nothing.
func (j *Jobs) addTombstone(id model.JobID, parts model.JobIDParts) {
	now := time.Now()
	remaining := j.ticketLifetime() - j.idGenerator.age(parts, now)
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		if _, known := jobs[id]; known || remaining <= 0 {
			return
		}
		e := j.newEntry(model.Job{ID: id, Deadline: now.Add(remaining)}, now, remaining)
		e.tombstone = true
		jobs[id] = e
	})
}
