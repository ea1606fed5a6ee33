package jobs

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/jobs/jobstate"
)

// maxStartDelay bounds the time from minting the id of a job with a key until the job's entry is
// created. Within it, an id without an entry is that of a job that is about to start.
const maxStartDelay = time.Second

// idForKey returns the id under which a submission with the given key runs: the id of the job with the
// same key when that job runs or is complete, and otherwise a new one.
func (j *Jobs) idForKey(key string) model.JobID {
	id := j.idGenerator.next(time.Now())
	if key == "" {
		return id
	}
	existing, known := j.keys.Get(key)
	if known && j.joinable(existing) {
		return existing
	}
	j.keys.Do(key, func(keys map[string]model.JobID) {
		if keys[key] != existing {
			id = keys[key] // A concurrent submission has stored another id meanwhile.
			return
		}
		keys[key] = id
	})
	return id
}

// joinable reports whether a job has not failed. A job without an entry is joinable for maxStartDelay
// after its id was minted.
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
	return j.idGenerator.age(parts, time.Now()) < maxStartDelay
}

// removeKey removes the key of a job that has been removed, unless the key belongs to a newer job.
func (j *Jobs) removeKey(key string, id model.JobID) {
	j.keys.Do(key, func(keys map[string]model.JobID) {
		if keys[key] == id {
			delete(keys, key)
		}
	})
}

// waitAsCaller waits for the job's outcome on behalf of a caller. An attached job is cancelled when
// its last caller goes away.
func (j *Jobs) waitAsCaller(ctx context.Context, job model.Job, e *entry) model.Outcome {
	j.jobs.Do(job.ID, func(map[model.JobID]*entry) { e.callers++ })
	outcome := j.wait(ctx, job.ID, e)
	last := false
	j.jobs.Do(job.ID, func(map[model.JobID]*entry) {
		e.callers--
		last = e.callers == 0
	})
	if job.Attached && last && outcome.State == model.StateRunning {
		event.CallerGone.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.JobKey, job.Key), event.MS(event.TookMS, time.Since(e.submittedAt)))
		j.step(job.ID, jobstate.Cancelled{})
	}
	return outcome
}
