// Package roundrobin sends tasks to the endpoints in turn, as a baseline for comparison.
package roundrobin

import (
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/placement/plan"
)

// Policy is the placement. It has no settings.
type Policy struct{}

// Plan deals the tasks out to the pools in turn, from a random one on: a policy keeps no state
// between jobs.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	pools, refusal := plan.Able(r.Job, r.Pools)
	if len(pools) == 0 {
		return refusal
	}
	counts := make([]int, len(pools))
	first := r.Random.IntN(len(pools))
	for i := range r.Job.Tasks {
		counts[(first+i)%len(pools)]++
	}
	return plan.Assemble("pools in turn", pools, counts)
}

// NewPlacer returns an empty list of endpoints.
func (Policy) NewPlacer(uint64) port.Placer { return &placer{Roster: plan.NewRoster()} }

type placer struct {
	*plan.Roster
	next int
}

// Pick returns the next endpoint whose worker can run the task, whether it has a free slot or not.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if len(p.Loads()) == 0 {
		return port.Choice{}, false
	}
	p.next = (p.next + 1) % len(p.Loads())
	id, ok := p.FirstFrom(p.next, request)
	return port.Choice{Endpoint: id, Why: "next in turn"}, ok
}
