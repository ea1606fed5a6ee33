package jobs

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// told is what the log tells of a job at its end, kept apart from the job, whose tasks are freed.
type told struct {
	service  model.ServiceID
	team     model.TeamID
	tasks    int
	deadline time.Time
}

func (j *Jobs) tellTaken(job *model.Job) {
	event.JobTaken.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.JobKey, job.Key),
		event.Text(event.Service, job.Service), event.Text(event.Team, job.Team), event.Count(event.Tasks, len(job.Tasks)),
		event.MS(event.LeftMS, time.Until(job.Deadline)))
}

func (j *Jobs) tellJoined(job *model.Job, e *entry) {
	state := model.StateRunning
	j.jobs.Do(job.ID, func(map[model.JobID]*entry) { state = e.state.Outcome().State })
	event.JobJoined.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.JobKey, job.Key), event.Text(event.Outcome, state))
}

// tellEnded logs a job's outcome; one that is not whole is trouble.
func (j *Jobs) tellEnded(id model.JobID, e *entry, o model.Outcome, took time.Duration) {
	level := event.JobEnded.Level
	if o.State != model.StateComplete {
		level = event.Trouble
	}
	if !j.log.Enabled(context.Background(), level) {
		return
	}
	event.JobEnded.LogAt(level, j.log, event.Text(event.Job, id), event.Text(event.JobKey, e.key),
		event.Text(event.Service, e.told.service), event.Text(event.Team, e.told.team), event.Count(event.Tasks, e.told.tasks),
		event.Text(event.Outcome, o.State), event.Text(event.Run, o.Run), event.Text(event.Reason, o.Reason),
		event.MS(event.TookMS, took), event.MS(event.LeftMS, e.told.deadline.Sub(e.begun.Add(took))),
		event.MS(event.RetryAfterMS, o.RetryAfter))
}
