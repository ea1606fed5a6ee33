// Package jobs owns the jobs submitted to this member. A job id names the one member and
// incarnation that may start the job's tasks, so that no synced write and no extra message is
// needed to start each task at most once.
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

// Settings are the plug-in's own, in milliseconds.
type Settings struct {
	TicketMS  int64 `json:"ticket_ms"`  // How long after its minting an id can start a job.
	AnswersMS int64 `json:"answers_ms"` // How long answers are kept after a job's end.
}

// Check tells the faults of the settings.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.TicketMS > 0, "ticket_ms", "must be above 0")
	faults.Require(s.AnswersMS >= 0, "answers_ms", "must not be negative")
}

const (
	defaultTicketMS  = 600_000
	defaultAnswersMS = 60_000
)

// Jobs is the plug-in. Create it through the registry.
type Jobs struct {
	settings   Settings
	self       port.Node
	membership port.Membership
	profiles   port.Profiles
	quotas     port.Quotas
	pools      port.Pools
	peers      port.Peers
	decisions  port.Decisions
	recorder   port.Recorder
	placements map[string]port.Placement
	registry   metrics.Registry
	log        *slog.Logger
	responses  metrics.Histogram // Milliseconds from submission to end.
	wasted     metrics.Counter

	mint     *mint
	jobs     *shard.Map[model.JobID, *entry]
	keys     *shard.Map[string, model.JobID] // The newest job of each caller's key.
	services *shard.Map[model.ServiceID, *retrybudget.Budget]
	draining atomic.Bool
	life     context.Context
	stop     context.CancelFunc
}

// entry is a job and who waits for it; ended is closed when its outcome is final.
type entry struct {
	created *jobstate.Created // Until it has been recorded.
	state   *jobstate.Job
	steps   uint64 // Taken so far.
	begun   time.Time
	fenced  bool // Cancelled before it was submitted.
	key     string
	told    told
	callers int // That wait for its end.
	ended   chan struct{}
	timer   *time.Timer
	cancels map[int]context.CancelFunc // Of the parts that are open.
}

// Provision binds the ports.
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

// init makes the state behind the bound ports.
func (j *Jobs) init(log *slog.Logger, registry metrics.Registry) {
	j.log = log
	j.self = j.membership.Self()
	j.mint = newMint(j.self.ID, j.self.Incarnation, time.Now())
	j.jobs = shard.New[model.JobID, *entry](shard.DefaultCount)
	j.keys = shard.New[string, model.JobID](shard.DefaultCount)
	j.services = shard.New[model.ServiceID, *retrybudget.Budget](shard.DefaultCount)
	j.life, j.stop = context.WithCancel(context.Background())
	j.registerMetrics(registry)
	j.handlePeers()
}

// Drain takes no new jobs and waits for the end of those that run.
func (j *Jobs) Drain(ctx context.Context) {
	j.draining.Store(true)
	var running []chan struct{}
	j.jobs.Each(func(jobs map[model.JobID]*entry) {
		for _, e := range jobs {
			running = append(running, e.ended)
		}
	})
	for _, ended := range running {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// Stop ends the waits of this process.
func (j *Jobs) Stop() error {
	j.stop()
	return nil
}

// Mint returns count new job ids.
func (j *Jobs) Mint(count int) []model.JobID {
	ids := make([]model.JobID, 0, count)
	for range count {
		ids = append(ids, j.mint.next(time.Now()))
	}
	return ids
}

// Submit runs the job, joins it when its id is known, or passes it to the member that owns it.
func (j *Jobs) Submit(ctx context.Context, job model.Job) model.Outcome {
	if job.ID == "" {
		job.ID = j.idOf(job.Key)
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
	if refusal, refused := j.refuseAlien(job.ID, parts); refused {
		return refusal
	}
	return j.submitOwned(ctx, job, parts)
}

func (j *Jobs) defaultDeadline(service model.ServiceID) time.Duration {
	profiles, _ := j.profiles.Current()
	profile, ok := profiles.For(service)
	if !ok {
		profile = model.BuiltInProfile() // The job will be refused.
	}
	return profile.DefaultDeadline
}

// refuseAlien refuses ids of an earlier incarnation and ids that were never minted.
func (j *Jobs) refuseAlien(id model.JobID, parts model.JobIDParts) (model.Outcome, bool) {
	if parts.Incarnation != j.self.Incarnation {
		return model.Failed(id, model.MayHaveRun, model.ReasonOwnerRestarted), true
	}
	if !j.mint.made(parts) {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob), true
	}
	return model.Outcome{}, false
}

// submitOwned starts the job when its id is new, and otherwise joins it.
func (j *Jobs) submitOwned(ctx context.Context, job model.Job, parts model.JobIDParts) model.Outcome {
	now := time.Now()
	left := j.ticketLifetime() - j.mint.age(parts, now)
	var e *entry
	var refusal model.Outcome
	created := false
	j.jobs.Do(job.ID, func(jobs map[model.JobID]*entry) {
		known := false
		if e, known = jobs[job.ID]; known {
			return
		}
		if refusal = j.refuseNew(job.ID, left); refusal.State != "" {
			return
		}
		created = true
		e = j.newEntry(job, now, left)
		jobs[job.ID] = e
	})
	switch {
	case e == nil:
		return refusal
	case created:
		j.tellTaken(&job)
		j.begin(job)
	case e.state.Digest() != job.Digest && !e.fenced:
		return model.Failed(job.ID, model.NotRun, model.ReasonConflict)
	default:
		j.tellJoined(&job, e)
	}
	return j.attend(ctx, job, e)
}

// refuseNew refuses an id that has no job when its time is over, since its outcome may have been
// forgotten, and while this process drains.
func (j *Jobs) refuseNew(id model.JobID, left time.Duration) model.Outcome {
	if left <= 0 {
		return model.Failed(id, model.MayHaveRun, model.ReasonExpired)
	}
	if j.draining.Load() {
		return model.Failed(id, model.NotRun, model.ReasonDraining)
	}
	return model.Outcome{}
}

func (j *Jobs) newEntry(job model.Job, now time.Time, left time.Duration) *entry {
	answers := time.Duration(j.settings.AnswersMS) * time.Millisecond
	id := job.ID // The timer must not keep the tasks.
	created := jobstate.Created{Job: job, Self: j.self.ID, Retention: jobstate.Retention{Answers: answers, Until: now.Add(left)}}
	e := &entry{
		key:     job.Key,
		told:    told{job.Service, job.Team, len(job.Tasks), job.Deadline},
		state:   created.Machine(),
		begun:   now,
		ended:   make(chan struct{}),
		cancels: make(map[int]context.CancelFunc),
	}
	if j.recording() {
		e.created = &created
	}
	e.timer = time.AfterFunc(e.state.Wake().Sub(now), func() { j.step(id, jobstate.Elapsed{}) })
	return e
}

func (j *Jobs) ticketLifetime() time.Duration {
	return time.Duration(j.settings.TicketMS) * time.Millisecond
}

// wait returns the job's outcome once it is final, or as it is when the context ends.
func (j *Jobs) wait(ctx context.Context, id model.JobID, e *entry) model.Outcome {
	select {
	case <-e.ended:
	case <-ctx.Done():
	}
	outcome := model.Running(id)
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	return outcome
}

// Lookup returns the outcome of a job from the member that owns it.
func (j *Jobs) Lookup(ctx context.Context, id model.JobID) model.Outcome {
	parts, ok := id.Parse()
	if !ok {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob)
	}
	if parts.Owner != j.self.ID {
		return j.forwardLookup(ctx, parts.Owner, methodLookup, id)
	}
	if refusal, refused := j.refuseAlien(id, parts); refused {
		return refusal
	}
	if e, known := j.jobs.Get(id); known {
		return j.wait(ctx, id, e)
	}
	if j.mint.age(parts, time.Now()) >= j.ticketLifetime() {
		return model.Failed(id, model.MayHaveRun, model.ReasonExpired)
	}
	return model.Failed(id, model.NotRun, model.ReasonUnknownJob)
}

// Cancel ends a job at the member that owns it.
func (j *Jobs) Cancel(ctx context.Context, id model.JobID) model.Outcome {
	parts, ok := id.Parse()
	if !ok {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob)
	}
	if parts.Owner != j.self.ID {
		return j.forwardLookup(ctx, parts.Owner, methodCancel, id)
	}
	if refusal, refused := j.refuseAlien(id, parts); refused {
		return refusal
	}
	j.fence(id, parts)
	j.step(id, jobstate.Cancelled{})
	return j.Lookup(ctx, id)
}

// fence enters an id that has no job, so that a submission under it that arrives after its
// cancellation runs nothing.
func (j *Jobs) fence(id model.JobID, parts model.JobIDParts) {
	now := time.Now()
	left := j.ticketLifetime() - j.mint.age(parts, now)
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		if _, known := jobs[id]; known || left <= 0 {
			return
		}
		e := j.newEntry(model.Job{ID: id, Deadline: now.Add(left)}, now, left)
		e.fenced = true
		jobs[id] = e
	})
}
