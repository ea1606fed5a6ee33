package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/fit"
	"redwingpulley/plugins/jobs/jobstate"
	"redwingpulley/plugins/jobs/retrybudget"
)

const (
	sampleSize  = 1028  // Number of response times that the histogram keeps.
	sampleAlpha = 0.015 // Decay rate of the sample: a higher one gives recent times more weight.

	// loadsWarmUp is how long after its start this process may still lack the loads of some pools.
	loadsWarmUp = 5 * time.Second
)

func (j *Jobs) registerMetrics(registry metrics.Registry) {
	j.registry = registry
	j.wastedMessages = metrics.GetOrRegisterCounter("messages.wasted", registry)
	j.responseTimes = metrics.GetOrRegisterHistogram("jobs.response_ms", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// outgoingBatch is a batch that is about to be sent; its context ends when the batch is cancelled.
type outgoingBatch struct {
	jobstate.Send
	ctx context.Context
}

// step applies an event to a job under the lock of its shard, and then carries out the effects without
// the lock.
func (j *Jobs) step(id model.JobID, event jobstate.Event) {
	var e *entry
	var fx jobstate.Effects
	var sends []outgoingBatch
	var cancels []context.CancelFunc
	var now time.Time
	var created *jobstate.Created
	var sequence uint64
	var removedKey string // Key of the job, if this step removed it.
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		known := false
		if e, known = jobs[id]; !known {
			return
		}
		now = j.now()
		e.steps++
		sequence = e.steps
		created, e.created = e.created, nil
		fx = e.state.Step(now, event)
		sends, cancels = j.updateCancels(e, event, fx)
		if fx.Gone {
			delete(jobs, id)
			removedKey = e.key
			return
		}
		e.timer.Reset(e.state.NextTimer().Sub(now))
	})
	if sequence > 0 && j.recording() {
		j.recordStep(id, created, sequence, now, event, fx)
	}
	for _, s := range sends {
		go j.send(s)
	}
	for _, cancel := range cancels {
		cancel()
	}
	if fx.Replan != nil {
		j.step(id, j.replan(*fx.Replan))
	}
	if fx.Ended {
		j.end(id, e, now)
	}
	if removedKey != "" {
		j.removeKey(removedKey, id)
	}
}

// updateCancels updates the cancel functions of the parts in flight after a step. It is called under
// the lock of the job's shard, and returns the batches to send and the cancel functions to call once
// the lock is released.
func (j *Jobs) updateCancels(e *entry, event jobstate.Event, fx jobstate.Effects) (sends []outgoingBatch, cancels []context.CancelFunc) {
	if b, ok := event.(jobstate.BatchEnded); ok {
		cancels = e.removeCancel(cancels, b.Result.ID.Part)
	}
	for _, part := range fx.Cancels {
		cancels = e.removeCancel(cancels, part)
	}
	if fx.Ended {
		e.cancels = nil
	}
	for _, s := range fx.Sends {
		ctx, cancel := context.WithCancel(j.baseCtx)
		e.cancels[s.Batch.ID.Part] = cancel
		sends = append(sends, outgoingBatch{s, ctx})
	}
	return sends, cancels
}

// removeCancel moves the cancel function of a part, if there is one, from the entry to removed.
func (e *entry) removeCancel(removed []context.CancelFunc, part int) []context.CancelFunc {
	cancel, ok := e.cancels[part]
	if !ok {
		return removed
	}
	delete(e.cancels, part)
	return append(removed, cancel)
}

// send runs a batch at its pool's owner and applies the result to the job.
func (j *Jobs) send(s outgoingBatch) {
	j.step(s.Batch.ID.Job, jobstate.BatchEnded{Result: j.pools.Run(s.ctx, s.Owner, s.Batch)})
}

// end counts and logs the final outcome of a job and wakes the callers that wait for it.
func (j *Jobs) end(id model.JobID, e *entry, now time.Time) {
	var outcome model.Outcome
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	took := now.Sub(e.submittedAt)
	j.responseTimes.Update(took.Milliseconds())
	if outcome.State == model.StateComplete {
		metrics.GetOrRegisterCounter("jobs.complete", j.registry).Inc(1)
	} else {
		metrics.GetOrRegisterCounter("jobs.failed."+string(outcome.Reason), j.registry).Inc(1)
	}
	j.logEnded(id, e, outcome, took)
	close(e.end)
}

// start plans the job and sends its batches, or refuses it, and records the decision.
func (j *Jobs) start(job model.Job) {
	event, d := j.planOrRefuse(job)
	j.decisions.Record(d)
	j.step(job.ID, event)
}

// newDecision returns a decision about a job or a part of it, with the fields that all kinds share.
func newDecision(kind port.DecisionKind, job *model.Job) port.Decision {
	now := time.Now()
	return port.Decision{
		At: now, Kind: kind, Job: job.ID, Key: job.Key, Task: -1, Tasks: len(job.Tasks), Left: job.Deadline.Sub(now),
	}
}

// addLoads adds to a decision the totals of the pool loads that it is based on, and the age of the
// oldest.
func addLoads(d *port.Decision, loads []model.PoolLoad) {
	for _, l := range loads {
		d.Slots += l.Slots
		d.Free += l.Free
		d.Waiting += l.Queued
		d.Age = max(d.Age, l.Age)
	}
}

// formatPools formats the pools of a plan, each with its number of tasks: "POOL:COUNT,POOL:COUNT".
func formatPools(plan port.Plan) string {
	parts := make([]string, 0, len(plan.Parts))
	for _, part := range plan.Parts {
		parts = append(parts, part.Pool.String()+":"+strconv.Itoa(len(part.Tasks)))
	}
	return strings.Join(parts, ",")
}

// planOrRefuse plans the job. It returns the event that starts or refuses the job, and the decision to
// record.
func (j *Jobs) planOrRefuse(job model.Job) (jobstate.Event, port.Decision) {
	d := newDecision(port.DecidedJobRefusal, &job)
	profiles, known := j.profiles.Current()
	d.Revision = profiles.Revision
	refuse := func(reason model.Reason, retryAfter time.Duration, why string) (jobstate.Event, port.Decision) {
		d.Reason, d.RetryAfter, d.Why = reason, retryAfter, why
		return jobstate.Refused{Reason: reason, RetryAfter: retryAfter}, d
	}
	if !known {
		return refuse(model.ReasonNoProfile, 0, "no profile is known yet")
	}
	profile, ok := profiles.For(job.Service)
	if !ok {
		return refuse(model.ReasonNoProfile, 0, "the service's profile is not in the register")
	}
	if reason, why := checkProfileLimits(profile, job); reason != "" {
		return refuse(reason, 0, why)
	}
	loads := j.pools.Loads(job.Service)
	addLoads(&d, loads)
	if len(loads) == 0 && !j.isKnownService(profiles, job.Service) {
		return refuse(model.ReasonUnknownService, 0, "no endpoint announced the service and no profile names it")
	}
	if why, fits := fit.Check(job, loads, time.Now()); !fits {
		return refuse(model.ReasonNeverFits, 0, why)
	}
	if ok, retryAfter := j.quotas.Take(profile, job.Team, len(job.Tasks)); !ok {
		return refuse(model.ReasonQuota, retryAfter, "the team's quota is used up")
	}
	plan := j.plan(profile, job, loads)
	if len(plan.Parts) == 0 {
		return refuse(plan.Refused, 0, plan.Reason)
	}
	j.withRetryBudget(job.Service, func(b *retrybudget.Budget) {
		for range plan.Parts {
			b.Deposit(profile.RetryBudget)
		}
	})
	d.Kind, d.Pools, d.Why = port.DecidedPlan, formatPools(plan), plan.Reason
	return jobstate.Planned{Plan: plan}, d
}

// checkProfileLimits returns why the profile does not allow the job, or "".
func checkProfileLimits(profile model.Profile, job model.Job) (reason model.Reason, why string) {
	if _, listed := profile.Quotas[job.Team]; !listed && len(profile.Quotas) > 0 {
		return model.ReasonUnknownTeam, "the profile's quotas do not list the team"
	}
	if time.Until(job.Deadline) > profile.MaxDeadline {
		return model.ReasonDeadlineLimit, "the deadline is later than the profile allows"
	}
	return "", ""
}

// isKnownService reports whether a profile was chosen for the service, its jobs have been planned
// before, or this process started too recently to know all pools. A service that has lost all its
// endpoints is still known.
func (j *Jobs) isKnownService(profiles model.ProfileSet, service model.ServiceID) bool {
	if _, chosen := profiles.Services[service]; chosen {
		return true
	}
	_, seen := j.retryBudgets.Get(service)
	return seen || time.Since(j.idGenerator.started) < loadsWarmUp
}

// plan asks the profile's placement policy for a plan.
func (j *Jobs) plan(profile model.Profile, job model.Job, loads []model.PoolLoad) port.Plan {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return j.placements[profile.Placement].Plan(port.PlanRequest{
		Job: job, Pools: loads, Self: j.self.ID, Near: j.self.DataCentre,
		MessageCost: profile.MessageCost, Random: random,
	})
}

// replan plans a refused part over the pools that are not in r.Avoid, within the service's retry
// budget unless r.Free is set, and records the decision.
func (j *Jobs) replan(r jobstate.Replan) jobstate.Event {
	noPlan := jobstate.Replanned{Part: r.Part}
	profiles, _ := j.profiles.Current()
	profile, ok := profiles.For(r.Job.Service)
	if !ok {
		return noPlan
	}
	loads := withoutPools(j.pools.Loads(r.Job.Service), r.Avoid)
	d := newDecision(port.DecidedReplan, &r.Job)
	d.Part, d.Reason, d.Revision = r.Part, r.Reason, profiles.Revision
	addLoads(&d, loads)
	plan := j.plan(profile, r.Job, withoutPools(loads, r.Moved))
	if len(plan.Parts) == 0 && len(r.Moved) > 0 {
		plan = j.plan(profile, r.Job, loads)
	}
	granted := r.Free
	if len(plan.Parts) > 0 && !granted {
		j.withRetryBudget(r.Job.Service, func(b *retrybudget.Budget) { granted = b.Withdraw() })
	}
	switch {
	case len(plan.Parts) == 0:
		d.Why = "not sent elsewhere: " + plan.Reason
	case !granted:
		d.Why = "not sent elsewhere: the retry budget is used up"
	default:
		d.Pools, d.Why = formatPools(plan), plan.Reason
	}
	j.decisions.Record(d)
	if d.Pools == "" {
		return noPlan
	}
	return jobstate.Replanned{Part: r.Part, Plan: plan}
}

// withoutPools returns the loads of the pools that are not excluded.
func withoutPools(loads []model.PoolLoad, excluded []model.PoolID) (rest []model.PoolLoad) {
	for _, l := range loads {
		if !slices.Contains(excluded, l.Pool) {
			rest = append(rest, l)
		}
	}
	return rest
}

// withRetryBudget calls f with the service's retry budget, under the lock of its shard. A service
// without a budget gets a full one.
func (j *Jobs) withRetryBudget(service model.ServiceID, f func(*retrybudget.Budget)) {
	j.retryBudgets.Do(service, func(budgets map[model.ServiceID]*retrybudget.Budget) {
		b, ok := budgets[service]
		if !ok {
			b = retrybudget.New()
			budgets[service] = b
		}
		f(b)
	})
}
