// Package leastwait is a placement policy. It places a job on the pools where it is expected to end
// first, weighed against the cost of the messages that this takes, and a task on the endpoint with the
// most free slots among those that are fast enough for its objective. While no endpoint has a free slot, the task stays in the pool's queue.
package leastwait

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/placement/plan"
)

const (
	// remoteRoundTrip is the assumed round trip to another data centre.
	remoteRoundTrip = 3 * time.Millisecond
	// defaultRunTime is the assumed run time of tasks without a learned or declared one.
	defaultRunTime = 300 * time.Millisecond
	// waitTolerance is how much two estimates of the same wait may differ through inaccuracy alone.
	waitTolerance = 20 * time.Millisecond
	// ampleJobs is the number of jobs of the same size for which a pool has to have free slots so that further ones do not matter.
	ampleJobs = 2
	// messagesPerPart counts the request and the reply of a batch that another member runs.
	messagesPerPart = 2
)

// Policy is the least-wait placement policy. It has no settings.
type Policy struct{}

// Plan ranks the pools by the cost of running the whole job in each, and compares the best one alone
// with the best two, three and so on together, until a further pool does not lower the cost by more than the
// estimates are inaccurate: with more pools the job takes more messages, and it ends with its last part.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	eligible, refusal := plan.EligiblePools(r.Job, r.Pools)
	if len(eligible) == 0 {
		return refusal
	}
	ranked := rankByCost(&r, eligible)
	tasks := len(r.Job.Tasks)
	best := allocate(ranked[:1], tasks)
	for k := 2; k <= len(ranked) && best.end > 0; k++ {
		a := allocate(ranked[:k], tasks)
		if a.cost >= best.cost-waitTolerance {
			break
		}
		best = a
	}
	reason := "spread over the pools where the job ends first"
	if best.parts == 1 {
		reason = "one pool ends the whole job as soon as several"
	}
	return assemble(&r, reason, ranked, best)
}

// candidate is a pool that can run the job.
type candidate struct {
	pool         *model.PoolLoad
	freeSlots    int           // Number of tasks that can start at once.
	suited       int           // Those of them at fast endpoints if the tasks are longer than the pool's average, else those at others.
	baseWait     time.Duration // Wait for a slot that the tasks in the pool's queue cause.
	waitPerTask  time.Duration // Wait that each task beyond the free slots adds.
	roundTrip    time.Duration // Round trip to the pool's data centre.
	messageCost  time.Duration // Cost of the messages of one batch.
	wholeJobCost time.Duration // Cost of running the whole job in this pool.
}

// allocation is one way to distribute the tasks of the job over the first of the ranked pools.
type allocation struct {
	counts []int         // Number of tasks of each pool.
	parts  int           // Number of pools that get a task.
	end    time.Duration // Estimated time until the last task starts, including the round trip to its pool.
	cost   time.Duration // The end and the cost of all messages together.
}

// rankByCost returns the pools in ascending order of the cost of running the whole job there, and those
// of equal cost in descending order of free slots, up to ampleJobs jobs of this size: first by those at fast endpoints for long
// tasks and by those at other endpoints for short ones. Pools that are equal in all of these are in random order: the many members
// would otherwise all choose the pool that had the most free slots when it last reported.
func rankByCost(r *port.PlanRequest, pools []model.PoolLoad) []candidate {
	r.Random.Shuffle(len(pools), func(i, j int) { pools[i], pools[j] = pools[j], pools[i] })
	declared := meanDeclaredRun(r.Job.Tasks)
	candidates := make([]candidate, len(pools))
	for i := range pools {
		candidates[i] = newCandidate(r, &pools[i], declared)
	}
	ample := ampleJobs * len(r.Job.Tasks)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.wholeJobCost, b.wholeJobCost),
			cmp.Compare(min(b.suited, ample), min(a.suited, ample)),
			cmp.Compare(min(b.freeSlots, ample), min(a.freeSlots, ample)),
		)
	})
	return candidates
}

// newCandidate estimates the waits and costs in a pool. run is the run time of a task, used when the
// pool has not learned one. In a pool whose slots are all taken, one is freed each waitPerTask on average.
func newCandidate(r *port.PlanRequest, pool *model.PoolLoad, run time.Duration) candidate {
	long := run > pool.MeanRun
	if pool.MeanRun > 0 {
		run = pool.MeanRun
	}
	slots := time.Duration(pool.Slots)
	c := candidate{
		pool: pool, freeSlots: max(pool.Free-pool.Queued, 0),
		baseWait: pool.QueuedRun / slots, waitPerTask: run / slots,
	}
	fast := min(pool.FreeFast, c.freeSlots)
	c.suited = c.freeSlots - fast
	if long {
		c.suited = fast
	}
	if pool.Pool.DataCentre != r.Near {
		c.roundTrip = remoteRoundTrip
	}
	if pool.Owner != r.Self {
		c.messageCost = messagesPerPart * r.MessageCost
	}
	c.wholeJobCost = c.wait(len(r.Job.Tasks)) + c.roundTrip + c.messageCost
	return c
}

// meanDeclaredRun returns the mean of the tasks' declared run times, or defaultRunTime when no task
// declares one.
func meanDeclaredRun(tasks []model.Task) time.Duration {
	var sum time.Duration
	for i := range tasks {
		sum += tasks[i].Declared
	}
	if sum == 0 {
		return defaultRunTime
	}
	return sum / time.Duration(len(tasks))
}

// wait estimates how long the last of the given number of tasks waits for a slot in the pool.
func (c *candidate) wait(tasks int) time.Duration {
	if tasks <= c.freeSlots {
		return 0
	}
	return c.baseWait + time.Duration(tasks-c.freeSlots)*c.waitPerTask
}

// leastWait estimates the same for tasks that do not wait for other queued ones.
func (c *candidate) leastWait(tasks int) time.Duration {
	if tasks <= c.pool.Free {
		return 0
	}
	return time.Duration(tasks-c.pool.Free) * c.waitPerTask
}

// allocate gives each pool, in their order, as many tasks as it has free slots, and each remaining
// task to the pool where it waits least.
func allocate(pools []candidate, tasks int) allocation {
	a := allocation{counts: make([]int, len(pools))}
	left := tasks
	for i := range pools {
		a.counts[i] = min(left, pools[i].freeSlots)
		left -= a.counts[i]
	}
	for range left {
		a.counts[poolWithLeastWait(pools, a.counts)]++
	}
	for i, count := range a.counts {
		if count > 0 {
			a.parts++
			a.end = max(a.end, pools[i].wait(count)+pools[i].roundTrip)
			a.cost += pools[i].messageCost
		}
	}
	a.cost += a.end
	return a
}

// poolWithLeastWait returns the index of the pool where one more task would wait least.
func poolWithLeastWait(pools []candidate, counts []int) int {
	best := 0
	least := pools[0].wait(counts[0] + 1)
	for i := 1; i < len(pools); i++ {
		if wait := pools[i].wait(counts[i] + 1); wait < least {
			best, least = i, wait
		}
	}
	return best
}

// assemble returns the plan of an allocation.
func assemble(r *port.PlanRequest, reason string, ranked []candidate, best allocation) port.Plan {
	pools := make([]model.PoolLoad, len(best.counts))
	for i := range pools {
		pools[i] = *ranked[i].pool
	}
	p := plan.Assemble(reason, pools, best.counts)
	p.Wait = best.end
	for i, count := range best.counts {
		if count > 0 {
			p.LeastWait = max(p.LeastWait, ranked[i].leastWait(count)+ranked[i].roundTrip)
		}
	}
	setMaxWaits(r, &p, ranked)
	return p
}

// setMaxWaits bounds the waits of the parts that go to pools of other owners, whose loads are known
// here only with a delay. Such a pool refuses a part when the wait there exceeds the estimate by more
// than a new plan costs: the round trip, the messages, and the tolerance.
func setMaxWaits(r *port.PlanRequest, p *port.Plan, ranked []candidate) {
	for i := range p.Parts {
		part := &p.Parts[i]
		index := slices.IndexFunc(ranked, func(c candidate) bool { return c.pool.Pool == part.Pool })
		if part.Owner != r.Self {
			part.MaxWait = ranked[index].wait(len(part.Tasks)) + remoteRoundTrip + messagesPerPart*r.MessageCost + waitTolerance
		}
	}
}

// NewPlacer returns a placer without endpoints.
func (Policy) NewPlacer(seed uint64) port.Placer { return newPlacer(seed) }
