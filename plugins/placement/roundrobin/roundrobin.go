// Package roundrobin is a placement policy that assigns tasks to the endpoints in turn. It is a
// baseline for comparison.
package roundrobin

import (
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/placement/plan"
)

// Policy is the round-robin placement policy. It has no settings.
type Policy struct{}

// Plan distributes the tasks over the pools in turn. It starts at a random pool, since a policy keeps
// no state between jobs.
func (Policy) Plan(r port.PlanRequest) port.Plan {
	pools, refusal := plan.EligiblePools(r.Job, r.Pools)
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

// NewPlacer returns a placer without endpoints.
func (Policy) NewPlacer(uint64) port.Placer { return &placer{EndpointList: plan.NewEndpointList()} }

type placer struct {
	*plan.EndpointList
	next int
}

// Pick returns the next endpoint in turn that can run the task, whether it has a free slot or not.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if len(p.Loads()) == 0 {
		return port.Choice{}, false
	}
	p.next = (p.next + 1) % len(p.Loads())
	id, ok := p.FirstFrom(p.next, request)
	return port.Choice{Endpoint: id, Why: "next in turn"}, ok
}
