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
	// messagesPerPart is the request and the reply by which another member runs a batch.
	messagesPerPart = 2
)

// Policy is the placement. It has no settings.
type Policy struct{}

// Plan ranks the pools by when the whole job would end in each, and weighs the best one alone
// against the best two, three and so on together: more pools end the job sooner and cost more
// messages.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	able, refusal := plan.Able(r.Job, r.Pools)
	if len(able) == 0 {
		return refusal
	}
	r.Random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	c := newCandidates(r, able)
	c.rank()
	best := c.split(1)
	for k := 2; k <= len(c.pools) && best.end > 0; k++ {
		if s := c.split(k); s.cost < best.cost {
			best = s
		}
	}
	reason := "spread over the pools where the job ends first"
	if best.parts == 1 {
		reason = "one pool ends the whole job as soon as several"
	}
	return plan.Assemble(reason, c.pools, best.counts)
}

// candidates are the pools that can run the job.
type candidates struct {
	pools   []model.PoolLoad
	request port.PlanRequest
	tasks   int
	run     time.Duration // Estimated run time of one of the job's tasks.
}

// split is one way to share the job out over pools.
type split struct {
	counts []int
	parts  int
	end    time.Duration // Estimated time until the job's last task starts, and the round trips.
	cost   time.Duration // The end, and what the messages cost.
}

func newCandidates(r port.PlanRequest, pools []model.PoolLoad) *candidates {
	c := &candidates{pools: pools, request: r, tasks: len(r.Job.Tasks), run: defaultRun}
	var declared time.Duration
	for i := range r.Job.Tasks {
		declared += r.Job.Tasks[i].Declared
	}
	if declared > 0 {
		c.run = declared / time.Duration(c.tasks)
	}
	return c
}

// rank orders the pools by when the whole job would end there.
func (c *candidates) rank() {
	slices.SortStableFunc(c.pools, func(a, b model.PoolLoad) int {
		return cmp.Or(
			cmp.Compare(c.alone(&a), c.alone(&b)),
			cmp.Compare(b.Free-b.Queued, a.Free-a.Queued),
		)
	})
}

// alone returns the cost of running the whole job in the pool.
func (c *candidates) alone(p *model.PoolLoad) time.Duration {
	return c.wait(p, c.tasks) + c.distance(p) + c.messages(p)
}

// wait estimates how long the last of the given number of tasks waits for a slot in the pool.
func (c *candidates) wait(p *model.PoolLoad, tasks int) time.Duration {
	beyond := tasks - max(p.Free-p.Queued, 0)
	if beyond <= 0 {
		return 0
	}
	run := c.run
	if p.MeanRun > 0 {
		run = p.MeanRun
	}
	running := time.Duration(p.Slots-p.Free) * run / 2
	return (running + p.QueuedRun + time.Duration(beyond)*run) / time.Duration(p.Slots)
}

func (c *candidates) distance(p *model.PoolLoad) time.Duration {
	if p.Pool.DataCentre == c.request.Near {
		return 0
	}
	return farCost
}

func (c *candidates) messages(p *model.PoolLoad) time.Duration {
	if p.Owner == c.request.Self {
		return 0
	}
	return messagesPerPart * c.request.MessageCost
}

// split shares the job out over the first k pools: each task goes where it waits least, and the
// pool that is ranked higher gets it where the wait is the same.
func (c *candidates) split(k int) split {
	s := split{counts: make([]int, len(c.pools))}
	for range c.tasks {
		s.counts[c.shortest(s.counts[:k])]++
	}
	for i, count := range s.counts {
		if count == 0 {
			continue
		}
		s.parts++
		s.end = max(s.end, c.wait(&c.pools[i], count)+c.distance(&c.pools[i]))
		s.cost += c.messages(&c.pools[i])
	}
	s.cost += s.end
	return s
}

func (c *candidates) shortest(counts []int) int {
	best, least := 0, time.Duration(-1)
	for i := range counts {
		wait := c.wait(&c.pools[i], counts[i]+1)
		if least < 0 || wait < least {
			best, least = i, wait
		}
	}
	return best
}

// NewPlacer returns an empty index of endpoints by free slots.
func (Policy) NewPlacer(seed uint64) port.Placer { return newPlacer(seed) }
