package jobs

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/jobs/fit"
	"redwingpulley/plugins/jobs/jobstate"
	"redwingpulley/plugins/jobs/retrybudget"
)

// loadsWarmUp is how long after its start this process may still lack the loads of some pools.
const loadsWarmUp = 5 * time.Second

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
	plan, refused := j.planJob(job, &d, true)
	if refused != nil {
		d.Reason, d.RetryAfter, d.Why = refused.reason, refused.retryAfter, refused.why
		return jobstate.Refused{Reason: refused.reason, RetryAfter: refused.retryAfter}, d
	}
	d.Kind, d.Pools, d.Why = port.DecidedPlan, formatPools(plan), plan.Reason
	return jobstate.Planned{Plan: plan}, d
}

// refusal says why a job is refused.
type refusal struct {
	reason     model.Reason
	retryAfter time.Duration
	why        string // For the decision.
}

// planJob returns a plan for the job, or why the job is refused. It adds to the decision what that is based on. Unless charged
// is set, the quota is looked at rather than taken, and the retry budget gets nothing.
func (j *Jobs) planJob(job model.Job, d *port.Decision, charged bool) (port.Plan, *refusal) {
	profiles, known := j.profiles.Current()
	d.Revision = profiles.Revision
	if !known {
		return port.Plan{}, &refusal{model.ReasonNoProfile, 0, "no profile is known yet"}
	}
	profile, ok := profiles.For(job.Service)
	if !ok {
		return port.Plan{}, &refusal{model.ReasonNoProfile, 0, "the service's profile is not in the register"}
	}
	if reason, why := checkProfileLimits(profile, job); reason != "" {
		return port.Plan{}, &refusal{reason, 0, why}
	}
	loads, evacuated, refused := j.usableLoads(profiles, job, d)
	if refused != nil {
		return port.Plan{}, refused
	}
	quota := j.quotas.Look
	if charged {
		quota = j.quotas.Take
	}
	if ok, retryAfter := quota(profile, job.Team, len(job.Tasks)); !ok {
		return port.Plan{}, &refusal{model.ReasonQuota, retryAfter, "the team's quota is used up"}
	}
	plan, refused := j.planInTime(profile, job, loads, evacuated)
	if refused == nil && charged {
		j.depositRetries(profile, job.Service, len(plan.Parts))
	}
	return plan, refused
}

// usableLoads returns the loads of the pools in data centres that are not evacuated, or why no such pool can ever run the job. If
// it leaves any out, it also returns the refusal of a job that cannot be planned for that reason.
func (j *Jobs) usableLoads(profiles model.ProfileSet, job model.Job, d *port.Decision) (loads []model.PoolLoad, evacuated, refused *refusal) {
	all := j.pools.Loads(job.Service)
	addLoads(d, all)
	if len(all) == 0 && !j.isKnownService(profiles, job.Service) {
		return nil, nil, &refusal{model.ReasonUnknownService, 0, "no endpoint announced the service and no profile names it"}
	}
	loads, evacuated = withoutEvacuated(profiles, all)
	if evacuated != nil && len(loads) == 0 {
		return nil, nil, evacuated
	}
	if why, fits := fit.Check(job, loads, time.Now()); !fits && evacuated != nil && fitsWithEvacuated(profiles, job, all) {
		return nil, nil, evacuated
	} else if !fits {
		return nil, nil, &refusal{model.ReasonNeverFits, 0, why}
	}
	return loads, evacuated, nil
}

// planInTime returns a plan by which the job's answer is of use, or why the job is refused. evacuated is the refusal where no other
// pool than those left out for an evacuation has endpoints; nil if none was left out.
func (j *Jobs) planInTime(profile model.Profile, job model.Job, loads []model.PoolLoad, evacuated *refusal) (port.Plan, *refusal) {
	plan := j.plan(profile, job, loads)
	if len(plan.Parts) == 0 && plan.Refused == model.ReasonNoEndpoint && evacuated != nil {
		return port.Plan{}, evacuated
	}
	if len(plan.Parts) == 0 {
		return port.Plan{}, &refusal{plan.Refused, 0, plan.Reason}
	}
	if over := fit.UselessBy(&job, plan.LeastWait, loads, time.Now()); over > 0 {
		retryAfter := model.RetryAfter(over, over, time.Until(job.Deadline), rand.Float64())
		return port.Plan{}, &refusal{model.ReasonOverload, retryAfter, "would end when its answer is of no use any more"}
	}
	return plan, nil
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
// budget unless r.Free is set, and records the decision. A job that a pool refused for lack of time before
// anything of it was accepted is not sent to pools where it would be late as well.
func (j *Jobs) replan(r jobstate.Replan) jobstate.Event {
	noPlan := jobstate.Replanned{Part: r.Part}
	profiles, _ := j.profiles.Current()
	profile, ok := profiles.For(r.Job.Service)
	if !ok {
		return noPlan
	}
	loads, _ := withoutEvacuated(profiles, withoutPools(j.pools.Loads(r.Job.Service), r.Avoid))
	d := newDecision(port.DecidedReplan, &r.Job)
	d.Part, d.Reason, d.Revision = r.Part, r.Reason, profiles.Revision
	addLoads(&d, loads)
	plan := j.plan(profile, r.Job, withoutPools(loads, r.Moved))
	if len(plan.Parts) == 0 && len(r.Moved) > 0 {
		plan = j.plan(profile, r.Job, loads)
	}
	late := r.Unaccepted && r.Reason == model.ReasonOverload && fit.LateBy(&r.Job, plan.Wait, loads, time.Now()) > 0
	granted := r.Free
	if len(plan.Parts) > 0 && !granted && !late {
		j.withRetryBudget(r.Job.Service, func(b *retrybudget.Budget) { granted = b.Withdraw() })
	}
	switch {
	case len(plan.Parts) == 0:
		d.Why = "not sent elsewhere: " + plan.Reason
	case late:
		d.Why = "not sent elsewhere: no pool has room in time"
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

// depositRetries adds to the service's retry budget what the profile grants for the given number of parts.
func (j *Jobs) depositRetries(profile model.Profile, service model.ServiceID, parts int) {
	j.withRetryBudget(service, func(b *retrybudget.Budget) {
		for range parts {
			b.Deposit(profile.RetryBudget)
		}
	})
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
