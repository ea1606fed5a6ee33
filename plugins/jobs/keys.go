package jobs

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/jobs/jobstate"
)

// startTime is how long after its minting the id of a keyed job may not have been entered yet.
const startTime = time.Second

// idOf returns the id under which a submission runs: that of the job with the same key, when it runs
// or is complete, and otherwise a new one.
func (j *Jobs) idOf(key string) model.JobID {
	id := j.mint.next(time.Now())
	if key == "" {
		return id
	}
	former, known := j.keys.Get(key)
	if known && j.joinable(former) {
		return former
	}
	j.keys.Do(key, func(keys map[string]model.JobID) {
		if keys[key] != former {
			id = keys[key] // Another submission was here in between.
			return
		}
		keys[key] = id
	})
	return id
}

// joinable reports whether a job has not failed.
func (j *Jobs) joinable(id model.JobID) bool {
	joinable, known := false, false
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		var e *entry
		if e, known = jobs[id]; known {
			joinable = e.state.Outcome().State != model.StateFailed
		}
	})
	if known {
		return joinable
	}
	parts, _ := id.Parse()
	return j.mint.age(parts, time.Now()) < startTime
}

// forgetKey forgets a job that is no longer kept, unless its key has a newer one.
func (j *Jobs) forgetKey(key string, id model.JobID) {
	j.keys.Do(key, func(keys map[string]model.JobID) {
		if keys[key] == id {
			delete(keys, key)
		}
	})
}

// attend waits for the job with its caller. An attached job is cancelled when the last of its callers
// has gone.
func (j *Jobs) attend(ctx context.Context, job model.Job, e *entry) model.Outcome {
	j.jobs.Do(job.ID, func(map[model.JobID]*entry) { e.callers++ })
	outcome := j.wait(ctx, job.ID, e)
	alone := false
	j.jobs.Do(job.ID, func(map[model.JobID]*entry) {
		e.callers--
		alone = e.callers == 0
	})
	if job.Attached && alone && outcome.State == model.StateRunning {
		event.CallerGone.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.JobKey, job.Key), event.MS(event.TookMS, time.Since(e.begun)))
		j.step(job.ID, jobstate.Cancelled{})
	}
	return outcome
}
