// Package leastwait places a job on the pools where it ends first, weighed against the messages
// that this takes, and a task on the endpoint with the most free slots. A task without a free slot
// stays in the pool's queue.
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
	// farCost is the round trip to another data centre.
	farCost = 3 * time.Millisecond
	// defaultRun stands for the run time of a task that is neither learned nor declared.
	defaultRun = 300 * time.Millisecond
	// waitTolerance is by how much estimates of a wait may differ for no reason.
	waitTolerance = 20 * time.Millisecond
	// messagesPerPart is the request and the reply by which another member runs a batch.
	messagesPerPart = 2
)

// Policy is the placement. It has no settings.
type Policy struct{}

// Plan ranks the pools by when the whole job would end in each, and weighs the best one alone
// against the best two, three and so on together, as long as that pays: more pools end the job
// sooner and cost more messages.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	able, refusal := plan.Able(r.Job, r.Pools)
	if len(able) == 0 {
		return refusal
	}
	all := rank(&r, able)
	tasks := len(r.Job.Tasks)
	best := share(all[:1], tasks)
	for k := 2; k <= len(all) && best.end > 0; k++ {
		s := share(all[:k], tasks)
		if s.cost >= best.cost {
			break
		}
		best = s
	}
	reason := "spread over the pools where the job ends first"
	if best.parts == 1 {
		reason = "one pool ends the whole job as soon as several"
	}
	return assemble(&r, reason, all, best)
}

// candidate is a pool that can run the job.
type candidate struct {
	pool     *model.PoolLoad
	room     int           // Tasks that start at once.
	base     time.Duration // Wait of a task that finds no room, were it the only one.
	step     time.Duration // What each further task adds to the wait.
	distance time.Duration // Round trip to the pool's data centre.
	messages time.Duration // What the messages of one batch cost.
	alone    time.Duration // Cost of running the whole job there.
}

// split is one way to share the job out over the first pools.
type split struct {
	counts []int
	parts  int
	end    time.Duration // Estimated time until the job's last task starts, and the round trips.
	cost   time.Duration // The end, and what the messages cost.
}

// rank returns the pools ordered by the cost of running the whole job there; equals are in random
// order, so that many members do not choose the same.
func rank(r *port.PlanRequest, pools []model.PoolLoad) []candidate {
	r.Random.Shuffle(len(pools), func(i, j int) { pools[i], pools[j] = pools[j], pools[i] })
	declared := declaredRun(r.Job.Tasks)
	all := make([]candidate, len(pools))
	for i := range pools {
		all[i] = newCandidate(r, &pools[i], declared)
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.alone, b.alone), cmp.Compare(b.room, a.room))
	})
	return all
}

func newCandidate(r *port.PlanRequest, pool *model.PoolLoad, run time.Duration) candidate {
	if pool.MeanRun > 0 {
		run = pool.MeanRun
	}
	slots := time.Duration(pool.Slots)
	running := time.Duration(pool.Slots-pool.Free) * run / 2
	c := candidate{
		pool: pool, room: max(pool.Free-pool.Queued, 0),
		base: (running + pool.QueuedRun) / slots, step: run / slots,
	}
	if pool.Pool.DataCentre != r.Near {
		c.distance = farCost
	}
	if pool.Owner != r.Self {
		c.messages = messagesPerPart * r.MessageCost
	}
	c.alone = c.wait(len(r.Job.Tasks)) + c.distance + c.messages
	return c
}

// declaredRun returns the mean of the declared run times.
func declaredRun(tasks []model.Task) time.Duration {
	var sum time.Duration
	for i := range tasks {
		sum += tasks[i].Declared
	}
	if sum == 0 {
		return defaultRun
	}
	return sum / time.Duration(len(tasks))
}

// wait estimates how long the last of a number of tasks waits for a slot in the pool.
func (c *candidate) wait(tasks int) time.Duration {
	if tasks <= c.room {
		return 0
	}
	return c.base + time.Duration(tasks-c.room)*c.step
}

// share gives each pool as many tasks as it has room for, and each further task to the pool where
// it waits least.
func share(pools []candidate, tasks int) split {
	s := split{counts: make([]int, len(pools))}
	left := tasks
	for i := range pools {
		s.counts[i] = min(left, pools[i].room)
		left -= s.counts[i]
	}
	for range left {
		s.counts[shortest(pools, s.counts)]++
	}
	for i, count := range s.counts {
		if count > 0 {
			s.parts++
			s.end = max(s.end, pools[i].wait(count)+pools[i].distance)
			s.cost += pools[i].messages
		}
	}
	s.cost += s.end
	return s
}

func shortest(pools []candidate, counts []int) int {
	best := 0
	least := pools[0].wait(counts[0] + 1)
	for i := 1; i < len(pools); i++ {
		if wait := pools[i].wait(counts[i] + 1); wait < least {
			best, least = i, wait
		}
	}
	return best
}

func assemble(r *port.PlanRequest, reason string, all []candidate, best split) port.Plan {
	pools := make([]model.PoolLoad, len(best.counts))
	for i := range pools {
		pools[i] = *all[i].pool
	}
	p := plan.Assemble(reason, pools, best.counts)
	boundWaits(r, &p, all)
	return p
}

// boundWaits has pools of other owners, whose loads are known late, refuse a part that would wait
// longer there than it is worth to ask again: the round trip, the messages, and the tolerance.
func boundWaits(r *port.PlanRequest, p *port.Plan, all []candidate) {
	for i := range p.Parts {
		part := &p.Parts[i]
		at := slices.IndexFunc(all, func(c candidate) bool { return c.pool.Pool == part.Pool })
		if part.Owner != r.Self {
			part.MaxWait = all[at].wait(len(part.Tasks)) + farCost + messagesPerPart*r.MessageCost + waitTolerance
		}
	}
}

// NewPlacer returns an empty index of endpoints by free slots.
func (Policy) NewPlacer(seed uint64) port.Placer { return newPlacer(seed) }
