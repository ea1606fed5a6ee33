// Package staleview sends each task to the endpoint that was least loaded when the loads were
// last looked at, as a baseline for comparison: it stands for entry VMs that each place by a view
// of their own.
package staleview

import (
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/placement/plan"
)

// refreshInterval is the age up to which a view is used.
const refreshInterval = 250 * time.Millisecond

// Policy is the placement. It has no settings.
type Policy struct{}

// Plan gives each task to the pool with the least tasks for each slot, by the newest report.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	pools, refusal := plan.Able(r.Job, r.Pools)
	if len(pools) == 0 {
		return refusal
	}
	counts := make([]int, len(pools))
	for range r.Job.Tasks {
		counts[leastLoaded(pools, counts)]++
	}
	return plan.Assemble("least loaded pools of the view", pools, counts)
}

func leastLoaded(pools []model.PoolLoad, planned []int) int {
	least := 0
	for i := range pools {
		if perSlot(pools[i], planned[i]) < perSlot(pools[least], planned[least]) {
			least = i
		}
	}
	return least
}

func perSlot(p model.PoolLoad, planned int) float64 {
	return float64(p.Slots-p.Free+p.Queued+planned) / float64(p.Slots)
}

// NewPlacer returns an empty view.
func (Policy) NewPlacer(seed uint64) port.Placer {
	return &placer{Roster: plan.NewRoster(), random: rand.New(rand.NewPCG(seed, 0))}
}

type placer struct {
	*plan.Roster
	random *rand.Rand
	view   []port.EndpointLoad
	seen   time.Time
}

// Remove forgets an endpoint, in the view too: a task cannot be bound to one that is gone.
func (p *placer) Remove(id model.EndpointID) {
	p.Roster.Remove(id)
	p.seen = time.Time{}
}

// Update takes a load over; the view keeps the earlier one, unless the endpoint takes no work.
func (p *placer) Update(load port.EndpointLoad) {
	p.Roster.Update(load)
	if load.Slots == 0 {
		p.seen = time.Time{}
	}
}

// Pick returns the endpoint that has the most free slots by the view less what was sent since.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if request.Now.Sub(p.seen) >= refreshInterval {
		p.view = append(p.view[:0], p.Loads()...)
		p.seen = request.Now
	}
	best := p.best(request)
	if best < 0 {
		return port.Choice{}, false
	}
	p.view[best].Free--
	return port.Choice{Endpoint: p.view[best].ID, Why: "least loaded in the view"}, true
}

// best returns the position of the endpoint with the most free slots, or -1; ties go to the first
// after a random position.
func (p *placer) best(request port.PickRequest) int {
	best := -1
	if len(p.view) == 0 {
		return best
	}
	first := p.random.IntN(len(p.view))
	for i := range p.view {
		at := (first + i) % len(p.view)
		load := &p.view[at]
		if !request.Needs.Within(load.Left) || load.ID == request.Avoid {
			continue
		}
		if best < 0 || load.Free > p.view[best].Free {
			best = at
		}
	}
	return best
}
