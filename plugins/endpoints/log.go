package endpoints

import (
	"log/slog"
	"time"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/interference"
	"redwingpulley/plugins/endpoints/poolstate"
)

// logStep logs the decisions of a step and the changes of endpoints in it.
func (p *Pools) logStep(id model.PoolID, fx *poolstate.Effects) {
	if len(fx.Decisions)+len(fx.Changes)+len(fx.Teams)+len(fx.Interference) == 0 {
		return
	}
	now, pool := time.Now(), id.String()
	for _, d := range fx.Decisions {
		d.At, d.Pool = now, pool
		p.decisions.Record(d)
	}
	for _, c := range fx.Changes {
		event.EndpointChanged.Log(p.log, event.Text(event.Pool, pool), event.Text(event.Endpoint, c.Endpoint),
			event.Text(event.From, c.From), event.Text(event.To, c.To), event.Int(event.Slots, c.Slots))
	}
	for _, c := range fx.Teams {
		kind := event.TeamReleased
		if c.Confined {
			kind = event.TeamConfined
		}
		kind.Log(p.log, event.Text(event.Pool, pool), event.Text(event.Team, c.Team), event.Int(event.Endpoints, c.Endpoints))
	}
	for _, c := range fx.Interference {
		p.logInterference(pool, c)
	}
}

// logInterference logs that a pair of teams whose tasks slow each other down was found, or that it no longer is one.
func (p *Pools) logInterference(pool string, c interference.Change) {
	kind := event.InterferenceGone
	if c.Found {
		kind = event.InterferenceFound
	}
	kind.Log(p.log, event.Text(event.Pool, pool), event.Text(event.Team, c.Slowed), event.Text(event.Beside, c.Slowing),
		event.Int(event.SlowDownPct, int64(100*(c.SlowDown-1))), event.Int(event.Runs, int64(c.Runs)))
}

// logStartWaits logs that a start waits for the end of a run of an earlier attempt, or for that at another member.
func (p *Pools) logStartWaits(id model.PoolID, s poolstate.Start, earlier slog.Attr) {
	event.StartWaits.Log(p.log, event.Text(event.Job, s.Task.Job()), event.Text(event.JobKey, s.Key),
		event.Int(event.Task, s.Task.Index()), event.Int(event.Attempt, s.Attempt), event.Text(event.Pool, id.String()),
		event.Text(event.Endpoint, s.Endpoint), earlier)
}

// logTaskEnded counts and logs the reply of a start. A reply other than the task's answer is logged as a
// warning.
func (p *Pools) logTaskEnded(id model.PoolID, s poolstate.Start, reply port.TaskReply, took time.Duration) {
	p.instruments.countTaskEnd(reply.State)
	level := event.TaskEnded.Level
	if reply.State != port.TaskDone {
		level = event.Trouble
	}
	event.TaskEnded.LogAt(level, p.log, event.Text(event.Job, s.Task.Job()), event.Text(event.JobKey, s.Key),
		event.Int(event.Task, s.Task.Index()), event.Int(event.Attempt, s.Attempt), event.Text(event.Pool, id.String()),
		event.Text(event.Endpoint, s.Endpoint), event.Text(event.State, reply.State), event.Text(event.Cause, reply.Cause),
		event.MS(event.TookMS, took), event.Text(event.Why, reply.Detail))
}

// logTaskRevoked logs the reply of a revoke.
func (p *Pools) logTaskRevoked(id model.PoolID, r poolstate.Revoke, reply port.RevokeReply, took time.Duration) {
	why := "to keep it from starting"
	if r.Stop {
		why = "to stop it"
	}
	event.TaskRevoked.Log(p.log, event.Text(event.Job, r.Task.Job()), event.Text(event.JobKey, r.Key),
		event.Int(event.Task, r.Task.Index()), event.Int(event.Attempt, r.Attempt), event.Text(event.Pool, id.String()),
		event.Text(event.Endpoint, r.Endpoint), event.Text(event.State, reply.State), event.MS(event.TookMS, took),
		event.Text(event.Why, why))
}

// logBatchUnanswered logs that a batch that was sent to its pool's owner got no reply.
func (p *Pools) logBatchUnanswered(batch model.Batch, owner model.NodeID, took time.Duration) {
	event.BatchUnanswered.Log(p.log, event.Text(event.Job, batch.ID.Job), event.Text(event.JobKey, batch.Key),
		event.Int(event.Part, batch.ID.Part), event.Text(event.Pool, batch.Pool.String()),
		event.Text(event.Owner, owner), event.MS(event.TookMS, took))
}
