// Package jobs owns the jobs submitted to this member. A job id names the one member and
// incarnation that may start the job's tasks, so that no synced write and no extra message is
// needed to start each task at most once.
package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/jobs/jobstate"
)

// TicketLifetime is how long after its minting an id can start a job. Outcomes are kept for at
// least as long, so that a resend never runs a job again.
const TicketLifetime = 10 * time.Minute

// Jobs is the plug-in. Create it through the registry.
type Jobs struct {
	self       port.Node
	membership port.Membership
	profiles   port.Profiles
	quotas     port.Quotas
	pools      port.Pools
	peers      port.Peers
	decisions  port.Decisions
	placements map[string]port.Placement

	mint *mint
	jobs *shard.Map[model.JobID, *entry]
	life context.Context
	stop context.CancelFunc
}

// entry is a job and who waits for it; ended is closed when its outcome is final.
type entry struct {
	state *jobstate.Job
	ended chan struct{}
	timer *time.Timer
}

// Provision binds the ports.
func (j *Jobs) Provision(c *plugin.Context) (err error) {
	if j.membership, err = plugin.Use[port.Membership](c); err != nil {
		return err
	}
	if j.profiles, err = plugin.Use[port.Profiles](c); err != nil {
		return err
	}
	if j.quotas, err = plugin.Use[port.Quotas](c); err != nil {
		return err
	}
	if j.pools, err = plugin.Use[port.Pools](c); err != nil {
		return err
	}
	if j.peers, err = plugin.Use[port.Peers](c); err != nil {
		return err
	}
	if j.decisions, err = plugin.Use[port.Decisions](c); err != nil {
		return err
	}
	j.placements = plugin.UseAll[port.Placement](c)
	j.self = j.membership.Self()
	j.mint = newMint(j.self.ID, j.self.Incarnation)
	j.jobs = shard.New[model.JobID, *entry](shard.DefaultCount)
	j.life, j.stop = context.WithCancel(context.Background())
	j.handlePeers()
	plugin.Bind[port.Jobs](c, j)
	return c.Settings(&struct{}{})
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
		job.ID = j.mint.next(time.Now())
	}
	parts, ok := job.ID.Parse()
	if !ok {
		return model.Failed(job.ID, model.NotRun, model.ReasonUnknownJob)
	}
	if parts.Owner != j.self.ID {
		return j.forwardSubmit(ctx, parts.Owner, job)
	}
	if refusal, refused := j.refuseID(job.ID, parts); refused {
		return refusal
	}
	return j.submitOwned(ctx, job)
}

// refuseID refuses ids of an earlier incarnation, ids that were never minted, and ids so old that
// their outcome may have been forgotten.
func (j *Jobs) refuseID(id model.JobID, parts model.JobIDParts) (model.Outcome, bool) {
	if parts.Incarnation != j.self.Incarnation {
		return model.Failed(id, model.MayHaveRun, model.ReasonOwnerRestarted), true
	}
	if !j.mint.made(parts) {
		return model.Failed(id, model.NotRun, model.ReasonUnknownJob), true
	}
	_, known := j.jobs.Get(id)
	if !known && time.Since(time.UnixMilli(parts.MintedMS)) > TicketLifetime {
		return model.Failed(id, model.MayHaveRun, model.ReasonExpired), true
	}
	return model.Outcome{}, false
}

func (j *Jobs) submitOwned(ctx context.Context, job model.Job) model.Outcome {
	created := false
	e := j.jobs.GetOrCreate(job.ID, func() *entry {
		created = true
		return &entry{state: jobstate.New(job, j.self.ID), ended: make(chan struct{})}
	})
	if !created && e.state.Digest() != job.Digest {
		return model.Failed(job.ID, model.NotRun, model.ReasonConflict)
	}
	if created {
		j.begin(job, e)
	}
	return j.wait(ctx, job.ID, e)
}

// begin plans the job and sends its batches, or refuses it.
func (j *Jobs) begin(job model.Job, e *entry) {
	e.timer = time.AfterFunc(time.Until(job.Deadline), func() { j.step(job.ID, jobstate.Expired{}) })
	event, why := j.route(job)
	j.decisions.Record(port.Decision{At: time.Now(), Kind: "routing", Job: job.ID, Task: -1, Why: why})
	j.step(job.ID, event)
}

// route returns the event that starts or refuses the job, and why.
func (j *Jobs) route(job model.Job) (event jobstate.Event, why string) {
	profiles, ok := j.profiles.Current()
	if !ok {
		return jobstate.Refused{Reason: model.ReasonNoProfile}, "no profile is known yet"
	}
	profile, ok := profiles.For(job.Service)
	if !ok {
		return jobstate.Refused{Reason: model.ReasonNoProfile}, "the service's profile is not in the register"
	}
	if ok, retryAfter := j.quotas.Take(profile, job.Team, len(job.Tasks)); !ok {
		return jobstate.Refused{Reason: model.ReasonQuota, RetryAfter: retryAfter}, "the team's quota is used up"
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	plan := j.placements[profile.Placement].Plan(port.PlanRequest{
		Job: job, Pools: j.pools.Loads(job.Service), Self: j.self.ID, Near: j.self.DataCentre,
		MessageCost: profile.MessageCost, Random: random,
	})
	if len(plan.Parts) == 0 {
		return jobstate.Refused{Reason: plan.Refused}, plan.Reason
	}
	return jobstate.Planned{Plan: plan}, plan.Reason
}

func (j *Jobs) wait(ctx context.Context, id model.JobID, e *entry) model.Outcome {
	select {
	case <-e.ended:
	case <-ctx.Done():
	}
	outcome := model.Running(id)
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	return outcome
}

// step applies an event to a job and then carries out its effects, outside the lock.
func (j *Jobs) step(id model.JobID, event jobstate.Event) {
	var fx jobstate.Effects
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		e, ok := jobs[id]
		if !ok {
			return
		}
		fx = e.state.Step(time.Now(), event)
		if fx.Ended {
			close(e.ended)
		}
	})
	for _, s := range fx.Sends {
		go j.send(id, s)
	}
	for _, c := range fx.Cancels {
		go j.pools.Cancel(j.life, c.Owner, c.Pool, c.Batch)
	}
	if fx.Ended {
		time.AfterFunc(TicketLifetime, func() { j.jobs.Delete(id) })
	}
}

func (j *Jobs) send(id model.JobID, s jobstate.Send) {
	ctx, cancel := context.WithDeadline(j.life, s.Batch.Deadline)
	defer cancel()
	j.step(id, jobstate.BatchEnded{Result: j.pools.Run(ctx, s.Owner, s.Batch)})
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
	e, known := j.jobs.Get(id)
	if !known {
		return j.unknown(id, parts)
	}
	return j.wait(ctx, id, e)
}

func (j *Jobs) unknown(id model.JobID, parts model.JobIDParts) model.Outcome {
	if refusal, refused := j.refuseID(id, parts); refused {
		return refusal
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
	j.step(id, jobstate.Cancelled{})
	return j.Lookup(ctx, id)
}
