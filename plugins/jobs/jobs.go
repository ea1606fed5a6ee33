// Package jobs is the plug-in that owns the jobs submitted to this member. A job id names the one
// member and incarnation that may start the job's tasks. Starting each task at most once therefore
// needs neither a synchronous disk write nor an extra message.
package jobs

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/event"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/jobs/jobstate"
	"redwingpulley/plugins/jobs/retrybudget"
)

// Settings are the settings of this plug-in, in milliseconds.
type Settings struct {
	TicketMS  int64 `json:"ticket_ms"`  // How long after it was minted an id can start a job.
	AnswersMS int64 `json:"answers_ms"` // How long the answers of a job are kept after its end.
}

// Check reports the settings that are out of range.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.TicketMS > 0, "ticket_ms", "must be above 0")
	faults.Require(s.AnswersMS >= 0, "answers_ms", "must not be negative")
}

const (
	defaultTicketMS  = 600_000
	defaultAnswersMS = 60_000
)

// Jobs is the plug-in. It is created through the plug-in registry.
type Jobs struct {
	settings       Settings
	self           port.Node
	membership     port.Membership
	profiles       port.Profiles
	quotas         port.Quotas
	pools          port.Pools
	peers          port.Peers
	decisions      port.Decisions
	recorder       port.Recorder
	placements     map[string]port.Placement
	registry       metrics.Registry
	log            *slog.Logger
	responseTimes  metrics.Histogram // Milliseconds from the submission of a job to its end.
	wastedMessages metrics.Counter

	idGenerator  *idGenerator
	jobs         *shard.Map[model.JobID, *entry]
	keys         *shard.Map[string, model.JobID] // Id of the newest job with each key that a caller chose.
	retryBudgets *shard.Map[model.ServiceID, *retrybudget.Budget]
	draining     atomic.Bool
	baseCtx      context.Context
	stop         context.CancelFunc
}

// entry is a job that this member owns, with what is needed to run it and to answer its callers.
type entry struct {
	created     *jobstate.Created // nil once the job's creation has been recorded, or when steps are not recorded.
	state       *jobstate.Job
	steps       uint64 // Number of steps of the state machine so far.
	submittedAt time.Time
	tombstone   bool // The id was cancelled before a job was submitted under it.
	key         string
	logFields   logFields
	callers     int           // Number of submissions that wait for the job's end.
	end         chan struct{} // Closed when the job's outcome is final.
	timer       *time.Timer
	cancels     map[int]context.CancelFunc // Cancel functions of the parts in flight, by part number.
}

// Provision reads the settings, looks up the ports that the plug-in needs, and binds port.Jobs.
func (j *Jobs) Provision(c *plugin.Context) (err error) {
	j.settings = Settings{TicketMS: defaultTicketMS, AnswersMS: defaultAnswersMS}
	err = errors.Join(
		c.Settings(&j.settings),
		plugin.Need(c, &j.membership),
		plugin.Need(c, &j.profiles),
		plugin.Need(c, &j.quotas),
		plugin.Need(c, &j.pools),
		plugin.Need(c, &j.peers),
		plugin.Need(c, &j.decisions),
		plugin.Need(c, &j.recorder),
	)
	if err != nil {
		return err
	}
	j.placements = plugin.UseAll[port.Placement](c)
	j.init(c.Log, c.Metrics)
	plugin.Bind[port.Jobs](c, j)
	return nil
}

// init creates the plug-in's state and registers its metrics and its handlers of peer requests.
func (j *Jobs) init(log *slog.Logger, registry metrics.Registry) {
	j.log = log
	j.self = j.membership.Self()
	j.idGenerator = newIDGenerator(j.self.ID, j.self.Incarnation, time.Now())
	j.jobs = shard.New[model.JobID, *entry](shard.DefaultCount)
	j.keys = shard.New[string, model.JobID](shard.DefaultCount)
	j.retryBudgets = shard.New[model.ServiceID, *retrybudget.Budget](shard.DefaultCount)
	j.baseCtx, j.stop = context.WithCancel(context.Background())
	j.registerMetrics(registry)
	j.registerHandlers()
}

// Drain refuses new jobs from now on and waits until the running ones have ended or ctx ends.
func (j *Jobs) Drain(ctx context.Context) {
	j.draining.Store(true)
	var running []chan struct{}
	j.jobs.Each(func(jobs map[model.JobID]*entry) {
		for _, e := range jobs {
			running = append(running, e.end)
		}
	})
	for _, end := range running {
		select {
		case <-end:
		case <-ctx.Done():
			return
		}
	}
}

// Stop cancels all batches that are in flight.
func (j *Jobs) Stop() error {
	j.stop()
	return nil
}

// Mint returns count new job ids, which only this incarnation of this member may start.
func (j *Jobs) Mint(count int) []model.JobID {
	ids := make([]model.JobID, 0, count)
	for range count {
		ids = append(ids, j.idGenerator.next(time.Now()))
	}
	return ids
}

// Submit starts the job, joins it when its id is known, or forwards it to the member that owns it, and
// returns its outcome.
func (j *Jobs) Submit(ctx context.Context, job model.Job) model.Outcome {
	if job.ID == "" {
		job.ID = j.idForKey(job.Key)
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
		j.start(job)
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
	parts, ok := id.Parse()
	if !ok {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob)
	}
	if parts.Owner != j.self.ID {
		return j.forwardLookup(ctx, parts.Owner, methodLookup, id)
	}
	if refusal, refused := j.refuseForeignID(id, parts); refused {
		return refusal
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
	parts, ok := id.Parse()
	if !ok {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob)
	}
	if parts.Owner != j.self.ID {
		return j.forwardLookup(ctx, parts.Owner, methodCancel, id)
	}
	if refusal, refused := j.refuseForeignID(id, parts); refused {
		return refusal
	}
	j.addTombstone(id, parts)
	j.step(id, jobstate.Cancelled{})
	return j.Lookup(ctx, id)
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
