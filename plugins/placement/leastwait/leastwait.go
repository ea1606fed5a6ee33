// Package leastwait places a job on the pools where it waits least and a task on the endpoint
// with the most free slots. A task without a free slot stays in the pool's queue.
package leastwait

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Policy is the placement. It has no settings.
type Policy struct{}

// Plan fills the pool that is nearest and has room for the whole job, otherwise spreads the job
// over the pools by their free slots, and what is left by their shares of all slots.
func (Policy) Plan(job model.Job, pools []model.PoolLoad, near model.DataCentre, random *rand.Rand) port.Plan {
	able := ablePools(job, pools)
	if len(able) == 0 {
		return port.Plan{Reason: "no pool has slots and resources for the job"}
	}
	random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	slices.SortStableFunc(able, func(a, b model.PoolLoad) int {
		return cmp.Or(cmp.Compare(queuedPerSlot(a), queuedPerSlot(b)), nearFirst(a, b, near), cmp.Compare(b.Free, a.Free))
	})
	for _, pool := range able {
		if pool.Free-pool.Queued >= len(job.Tasks) {
			return port.Plan{Reason: "pool has room for the whole job", Parts: []port.PlanPart{part(pool, indices(0, len(job.Tasks)))}}
		}
	}
	return spread(len(job.Tasks), able)
}

func ablePools(job model.Job, pools []model.PoolLoad) []model.PoolLoad {
	var able []model.PoolLoad
	for _, pool := range pools {
		if pool.Slots > 0 && allFit(job.Tasks, pool.Largest) {
			able = append(able, pool)
		}
	}
	return able
}

func allFit(tasks []model.Task, has model.Needs) bool {
	for _, task := range tasks {
		if !task.Needs.Within(has) {
			return false
		}
	}
	return true
}

func queuedPerSlot(p model.PoolLoad) float64 { return float64(p.Queued) / float64(p.Slots) }

func nearFirst(a, b model.PoolLoad, near model.DataCentre) int {
	switch {
	case a.Pool.DataCentre == b.Pool.DataCentre:
		return 0
	case a.Pool.DataCentre == near:
		return -1
	case b.Pool.DataCentre == near:
		return 1
	}
	return 0
}

// spread gives each pool in turn as many tasks as it has free slots, then shares out the rest by
// the pools' slots.
func spread(tasks int, pools []model.PoolLoad) port.Plan {
	counts := make([]int, len(pools))
	left := tasks
	for i, pool := range pools {
		counts[i] = min(left, max(pool.Free-pool.Queued, 0))
		left -= counts[i]
	}
	slots := 0
	for _, pool := range pools {
		slots += pool.Slots
	}
	rest := left
	for i, pool := range pools {
		share := min(left, (rest*pool.Slots+slots-1)/slots)
		counts[i] += share
		left -= share
	}
	return assemble(counts, pools)
}

func assemble(counts []int, pools []model.PoolLoad) port.Plan {
	plan := port.Plan{Reason: "spread over the free slots of the pools"}
	next := 0
	for i, pool := range pools {
		if counts[i] == 0 {
			continue
		}
		plan.Parts = append(plan.Parts, part(pool, indices(next, next+counts[i])))
		next += counts[i]
	}
	return plan
}

func part(pool model.PoolLoad, tasks []int) port.PlanPart {
	return port.PlanPart{Pool: pool.Pool, Owner: pool.Owner, Tasks: tasks}
}

func indices(from, to int) []int {
	all := make([]int, 0, to-from)
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

// NewPlacer returns an empty index of endpoints by free slots.
func (Policy) NewPlacer(seed uint64) port.Placer { return newPlacer(seed) }
