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
	sampleSize  = 1028 // Response times that the histogram keeps.
	sampleAlpha = 0.015

	// loadsWarmUp is the time after the start in which a pool may not have been heard of yet.
	loadsWarmUp = 5 * time.Second
)

func (j *Jobs) registerMetrics(registry metrics.Registry) {
	j.registry = registry
	j.wasted = metrics.GetOrRegisterCounter("messages.wasted", registry)
	j.responses = metrics.GetOrRegisterHistogram("jobs.response_ms", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// outgoing is a batch that is about to be sent; its context ends when the batch is cancelled.
type outgoing struct {
	jobstate.Send
	ctx context.Context
}

// step applies an event to a job and then carries out its effects, outside the lock.
func (j *Jobs) step(id model.JobID, event jobstate.Event) {
	var e *entry
	var fx jobstate.Effects
	var sends []outgoing
	var cancels []context.CancelFunc
	var now time.Time
	var created *jobstate.Created
	var number uint64
	var gone string // Key of a job that is forgotten.
	j.jobs.Do(id, func(jobs map[model.JobID]*entry) {
		known := false
		if e, known = jobs[id]; !known {
			return
		}
		now = j.now()
		e.steps++
		number = e.steps
		created, e.created = e.created, nil
		fx = e.state.Step(now, event)
		sends, cancels = j.track(e, event, fx)
		if fx.Gone {
			delete(jobs, id)
			gone = e.key
			return
		}
		e.timer.Reset(e.state.Wake().Sub(now))
	})
	if number > 0 && j.recording() {
		j.recordStep(id, created, number, now, event, fx)
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
		j.ended(id, e, now)
	}
	if gone != "" {
		j.forgetKey(gone, id)
	}
}

// track keeps the cancel functions of the open parts, under the job's lock. It returns the batches
// to send and the functions to call after it.
func (j *Jobs) track(e *entry, event jobstate.Event, fx jobstate.Effects) (sends []outgoing, cancels []context.CancelFunc) {
	if b, ok := event.(jobstate.BatchEnded); ok {
		cancels = e.takeCancel(cancels, b.Result.ID.Part)
	}
	for _, part := range fx.Cancels {
		cancels = e.takeCancel(cancels, part)
	}
	if fx.Ended {
		e.cancels = nil
	}
	for _, s := range fx.Sends {
		ctx, cancel := context.WithCancel(j.life)
		e.cancels[s.Batch.ID.Part] = cancel
		sends = append(sends, outgoing{s, ctx})
	}
	return sends, cancels
}

func (e *entry) takeCancel(taken []context.CancelFunc, part int) []context.CancelFunc {
	cancel, ok := e.cancels[part]
	if !ok {
		return taken
	}
	delete(e.cancels, part)
	return append(taken, cancel)
}

func (j *Jobs) send(s outgoing) {
	j.step(s.Batch.ID.Job, jobstate.BatchEnded{Result: j.pools.Run(s.ctx, s.Owner, s.Batch)})
}

// ended wakes who waits for the job and counts its end.
func (j *Jobs) ended(id model.JobID, e *entry, now time.Time) {
	var outcome model.Outcome
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	took := now.Sub(e.begun)
	j.responses.Update(took.Milliseconds())
	if outcome.State == model.StateComplete {
		metrics.GetOrRegisterCounter("jobs.complete", j.registry).Inc(1)
	} else {
		metrics.GetOrRegisterCounter("jobs.failed."+string(outcome.Reason), j.registry).Inc(1)
	}
	j.tellEnded(id, e, outcome, took)
	close(e.ended)
}

// begin plans the job and sends its batches, or refuses it.
func (j *Jobs) begin(job model.Job) {
	event, d := j.route(job)
	j.decisions.Record(d)
	j.step(job.ID, event)
}

// decision returns what the log tells of a decision on a job or a part of it.
func decision(kind port.DecisionKind, job *model.Job) port.Decision {
	now := time.Now()
	return port.Decision{
		At: now, Kind: kind, Job: job.ID, Key: job.Key, Task: -1, Tasks: len(job.Tasks), Left: job.Deadline.Sub(now),
	}
}

// countLoads enters into a decision the loads that it counted with.
func countLoads(d *port.Decision, loads []model.PoolLoad) {
	for _, l := range loads {
		d.Slots += l.Slots
		d.Free += l.Free
		d.Waiting += l.Queued
		d.Age = max(d.Age, l.Age)
	}
}

// poolsOf lists the pools of a plan with the tasks that each gets.
func poolsOf(plan port.Plan) string {
	parts := make([]string, 0, len(plan.Parts))
	for _, part := range plan.Parts {
		parts = append(parts, part.Pool.String()+":"+strconv.Itoa(len(part.Tasks)))
	}
	return strings.Join(parts, ",")
}

// route returns the event that starts or refuses the job, and the decision behind it.
func (j *Jobs) route(job model.Job) (jobstate.Event, port.Decision) {
	d := decision(port.DecidedRefusal, &job)
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
	if reason, why := forbids(profile, job); reason != "" {
		return refuse(reason, 0, why)
	}
	loads := j.pools.Loads(job.Service)
	countLoads(&d, loads)
	if len(loads) == 0 && !j.knownService(profiles, job.Service) {
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
	j.withBudget(job.Service, func(b *retrybudget.Budget) {
		for range plan.Parts {
			b.Deposit(profile.RetryBudget)
		}
	})
	d.Kind, d.Pools, d.Why = port.DecidedPlan, poolsOf(plan), plan.Reason
	return jobstate.Planned{Plan: plan}, d
}

// forbids returns why the profile takes no such job, or "".
func forbids(profile model.Profile, job model.Job) (reason model.Reason, why string) {
	if _, listed := profile.Quotas[job.Team]; !listed && len(profile.Quotas) > 0 {
		return model.ReasonUnknownTeam, "the profile's quotas do not list the team"
	}
	if time.Until(job.Deadline) > profile.MaxDeadline {
		return model.ReasonDeadlineLimit, "the profile allows no deadline as long"
	}
	return "", ""
}

// knownService reports whether a profile was chosen for the service, its jobs have been planned
// before, or this process is too young to know all pools. A service that lost all endpoints is no
// unknown one.
func (j *Jobs) knownService(profiles model.ProfileSet, service model.ServiceID) bool {
	if _, chosen := profiles.Services[service]; chosen {
		return true
	}
	_, seen := j.services.Get(service)
	return seen || time.Since(j.mint.started) < loadsWarmUp
}

func (j *Jobs) plan(profile model.Profile, job model.Job, loads []model.PoolLoad) port.Plan {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return j.placements[profile.Placement].Plan(port.PlanRequest{
		Job: job, Pools: loads, Self: j.self.ID, Near: j.self.DataCentre,
		MessageCost: profile.MessageCost, Random: random,
	})
}

// replan plans a refused part over the pools that have not refused this job, within the service's
// retry budget.
func (j *Jobs) replan(r jobstate.Replan) jobstate.Event {
	none := jobstate.Replanned{Part: r.Part}
	profiles, _ := j.profiles.Current()
	profile, ok := profiles.For(r.Job.Service)
	if !ok {
		return none
	}
	loads := slices.DeleteFunc(j.pools.Loads(r.Job.Service), func(l model.PoolLoad) bool {
		return slices.Contains(r.Avoid, l.Pool)
	})
	d := decision(port.DecidedReplan, &r.Job)
	d.Part, d.Reason, d.Revision = r.Part, r.Reason, profiles.Revision
	countLoads(&d, loads)
	plan := j.plan(profile, r.Job, loads)
	granted := r.Free
	if len(plan.Parts) > 0 && !granted {
		j.withBudget(r.Job.Service, func(b *retrybudget.Budget) { granted = b.Withdraw() })
	}
	switch {
	case len(plan.Parts) == 0:
		d.Why = "not sent elsewhere: " + plan.Reason
	case !granted:
		d.Why = "not sent elsewhere: the retry budget is used up"
	default:
		d.Pools, d.Why = poolsOf(plan), plan.Reason
	}
	j.decisions.Record(d)
	if d.Pools == "" {
		return none
	}
	return jobstate.Replanned{Part: r.Part, Plan: plan}
}

func (j *Jobs) withBudget(service model.ServiceID, f func(*retrybudget.Budget)) {
	j.services.Do(service, func(budgets map[model.ServiceID]*retrybudget.Budget) {
		b, ok := budgets[service]
		if !ok {
			b = retrybudget.New()
			budgets[service] = b
		}
		f(b)
	})
}
