// Package staleview is a placement policy that assigns each task to the least loaded endpoint of a
// snapshot of the loads, which is refreshed only at intervals. It is a baseline for comparison: it
// stands for entry VMs that each place tasks by a view of their own.
package staleview

import (
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/placement/plan"
)

// refreshInterval is the age at which the view is refreshed.
const refreshInterval = 250 * time.Millisecond

// Policy is the stale-view placement policy. It has no settings.
type Policy struct{}

// Plan gives each task to the pool with the fewest tasks per slot, by the newest known loads.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	pools, refusal := plan.EligiblePools(r.Job, r.Pools)
	if len(pools) == 0 {
		return refusal
	}
	counts := make([]int, len(pools))
	for range r.Job.Tasks {
		counts[leastLoaded(pools, counts)]++
	}
	return plan.Assemble("least loaded pools of the view", pools, counts)
}

// leastLoaded returns the index of the pool with the fewest tasks per slot, counting those that are
// planned for it already.
func leastLoaded(pools []model.PoolLoad, planned []int) int {
	least := 0
	for i := range pools {
		if loadPerSlot(pools[i], planned[i]) < loadPerSlot(pools[least], planned[least]) {
			least = i
		}
	}
	return least
}

// loadPerSlot returns the running, queued and planned tasks of a pool per slot.
func loadPerSlot(p model.PoolLoad, planned int) float64 {
	return float64(p.Slots-p.Free+p.Queued+planned) / float64(p.Slots)
}

// NewPlacer returns a placer without endpoints.
func (Policy) NewPlacer(seed uint64) port.Placer {
	return &placer{EndpointList: plan.NewEndpointList(), random: rand.New(rand.NewPCG(seed, 0))}
}

// placer picks from a view, which is a copy of the list's loads made at viewedAt.
type placer struct {
	*plan.EndpointList
	random   *rand.Rand
	view     []port.EndpointLoad
	viewedAt time.Time
}

// Remove removes an endpoint and has the next Pick refresh the view: a task must not be assigned to an
// endpoint that is gone.
func (p *placer) Remove(id model.EndpointID) {
	p.EndpointList.Remove(id)
	p.viewedAt = time.Time{}
}

// Update sets an endpoint's load. The view keeps the earlier one until it is refreshed, unless the
// endpoint accepts no tasks any more: then the next Pick refreshes the view.
func (p *placer) Update(load port.EndpointLoad) {
	p.EndpointList.Update(load)
	if load.Slots == 0 {
		p.viewedAt = time.Time{}
	}
}

// Pick returns the endpoint with the most free slots in the view, less the tasks assigned since the
// view was refreshed.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if request.Now.Sub(p.viewedAt) >= refreshInterval {
		p.view = append(p.view[:0], p.Loads()...)
		p.viewedAt = request.Now
	}
	best := p.best(request)
	if best < 0 {
		return port.Choice{}, false
	}
	p.view[best].Free--
	return port.Choice{Endpoint: p.view[best].ID, Why: "least loaded in the view"}, true
}

// best returns the position in the view of the endpoint with the most free slots that can run the task,
// or -1. Of several, it is the first from a random position on.
func (p *placer) best(request port.PickRequest) int {
	best := -1
	if len(p.view) == 0 {
		return best
	}
	first := p.random.IntN(len(p.view))
	for i := range p.view {
		at := (first + i) % len(p.view)
		load := &p.view[at]
		if !request.Needs.FitsIn(load.Left) || load.ID == request.Avoid {
			continue
		}
		if best < 0 || load.Free > p.view[best].Free {
			best = at
		}
	}
	return best
}
