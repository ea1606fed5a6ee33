// Package random is a placement policy that assigns each task to a random endpoint at once. It is a
// baseline for comparison.
package random

import (
	"math/rand/v2"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/placement/plan"
)

// Policy is the random placement policy. It has no settings.
type Policy struct{}

// Plan draws a random pool for each task, weighted by the pools' numbers of slots.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	pools, refusal := plan.EligiblePools(r.Job, r.Pools)
	if len(pools) == 0 {
		return refusal
	}
	slots := 0
	for _, pool := range pools {
		slots += pool.Slots
	}
	counts := make([]int, len(pools))
	for range r.Job.Tasks {
		counts[poolOfSlot(pools, r.Random.IntN(slots))]++
	}
	return plan.Assemble("random endpoints", pools, counts)
}

// poolOfSlot returns the index of the pool that holds the given slot, where slots are numbered from 0
// through all pools.
func poolOfSlot(pools []model.PoolLoad, slot int) int {
	for i, pool := range pools {
		if slot < pool.Slots {
			return i
		}
		slot -= pool.Slots
	}
	return len(pools) - 1
}

// NewPlacer returns a placer without endpoints.
func (Policy) NewPlacer(seed uint64) port.Placer {
	return &placer{EndpointList: plan.NewEndpointList(), random: rand.New(rand.NewPCG(seed, 0))}
}

type placer struct {
	*plan.EndpointList
	random *rand.Rand
}

// Pick returns a random endpoint that can run the task, whether it has a free slot or not.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if len(p.Loads()) == 0 {
		return port.Choice{}, false
	}
	id, ok := p.FirstFrom(p.random.IntN(len(p.Loads())), request)
	return port.Choice{Endpoint: id, Why: "random"}, ok
}
