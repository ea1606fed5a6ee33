package jobs

import (
	"context"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
)

// logFields holds the fields of a job that are logged at its end. They are copied, since the job and
// its tasks are not kept until then.
type logFields struct {
	service  model.ServiceID
	team     model.TeamID
	tasks    int
	deadline time.Time
}

// logTaken logs that a new job was submitted.
func (j *Jobs) logTaken(job *model.Job) {
	event.JobTaken.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.JobKey, job.Key),
		event.Text(event.Service, job.Service), event.Text(event.Team, job.Team), event.Int(event.Tasks, len(job.Tasks)),
		event.MS(event.LeftMS, time.Until(job.Deadline)))
}

// logJoined logs that a submission joined a known job.
func (j *Jobs) logJoined(job *model.Job, e *entry) {
	state := model.StateRunning
	j.jobs.Do(job.ID, func(map[model.JobID]*entry) { state = e.state.Outcome().State })
	event.JobJoined.Log(j.log, event.Text(event.Job, job.ID), event.Text(event.JobKey, job.Key), event.Text(event.Outcome, state))
}

// logEnded logs a job's final outcome, at level event.Trouble unless the job is complete.
func (j *Jobs) logEnded(id model.JobID, e *entry, o model.Outcome, took time.Duration) {
	level := event.JobEnded.Level
	if o.State != model.StateComplete {
		level = event.Trouble
	}
	if !j.log.Enabled(context.Background(), level) {
		return
	}
	event.JobEnded.LogAt(level, j.log, event.Text(event.Job, id), event.Text(event.JobKey, e.key),
		event.Text(event.Service, e.logFields.service), event.Text(event.Team, e.logFields.team), event.Int(event.Tasks, e.logFields.tasks),
		event.Text(event.Outcome, o.State), event.Text(event.Run, o.Run), event.Text(event.Reason, o.Reason),
		event.MS(event.TookMS, took), event.MS(event.LeftMS, e.logFields.deadline.Sub(e.submittedAt.Add(took))),
		event.MS(event.RetryAfterMS, o.RetryAfter))
}
