package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
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
		j.ended(id, e)
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
func (j *Jobs) ended(id model.JobID, e *entry) {
	var outcome model.Outcome
	j.jobs.Do(id, func(map[model.JobID]*entry) { outcome = e.state.Outcome() })
	j.responses.Update(time.Since(e.begun).Milliseconds())
	if outcome.State == model.StateComplete {
		metrics.GetOrRegisterCounter("jobs.complete", j.registry).Inc(1)
	} else {
		metrics.GetOrRegisterCounter("jobs.failed."+string(outcome.Reason), j.registry).Inc(1)
	}
	close(e.ended)
}

// begin plans the job and sends its batches, or refuses it.
func (j *Jobs) begin(job model.Job) {
	event, why := j.route(job)
	j.record(job.ID, why)
	j.step(job.ID, event)
}

func (j *Jobs) record(id model.JobID, why string) {
	j.decisions.Record(port.Decision{At: time.Now(), Kind: "routing", Job: id, Task: -1, Why: why})
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
	if _, listed := profile.Quotas[job.Team]; !listed && len(profile.Quotas) > 0 {
		return jobstate.Refused{Reason: model.ReasonUnknownTeam}, "the profile's quotas do not list the team"
	}
	if time.Until(job.Deadline) > profile.MaxDeadline {
		return jobstate.Refused{Reason: model.ReasonDeadlineLimit}, "the profile allows no deadline as long"
	}
	loads := j.pools.Loads(job.Service)
	if len(loads) == 0 && !j.knownService(profiles, job.Service) {
		return jobstate.Refused{Reason: model.ReasonUnknownService}, "no endpoint announced the service and no profile names it"
	}
	if why, fits := fit.Check(job, loads, time.Now()); !fits {
		return jobstate.Refused{Reason: model.ReasonNeverFits}, why
	}
	if ok, retryAfter := j.quotas.Take(profile, job.Team, len(job.Tasks)); !ok {
		return jobstate.Refused{Reason: model.ReasonQuota, RetryAfter: retryAfter}, "the team's quota is used up"
	}
	plan := j.plan(profile, job, loads)
	if len(plan.Parts) == 0 {
		return jobstate.Refused{Reason: plan.Refused}, plan.Reason
	}
	j.withBudget(job.Service, func(b *retrybudget.Budget) {
		for range plan.Parts {
			b.Deposit(profile.RetryBudget)
		}
	})
	return jobstate.Planned{Plan: plan}, plan.Reason
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
	plan := j.plan(profile, r.Job, loads)
	if len(plan.Parts) == 0 {
		return none
	}
	granted := r.Busy // Once for a part, so that it takes nothing from the retry budget.
	if !granted {
		j.withBudget(r.Job.Service, func(b *retrybudget.Budget) { granted = b.Withdraw() })
	}
	if !granted {
		j.record(r.Job.ID, "refused part not sent elsewhere: the retry budget is used up")
		return none
	}
	j.record(r.Job.ID, "refused part sent elsewhere: "+plan.Reason)
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
