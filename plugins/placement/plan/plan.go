// Package plan holds what the placement plug-ins share: which pools can take a job, how a plan is
// put together, and the list of endpoints from which the simple policies pick. It is no plug-in
// and, like them, decides from its arguments alone.
package plan

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Able returns the pools whose endpoints can run each task of the job. When there are none, the
// plan refuses the job.
func Able(job model.Job, pools []model.PoolLoad) (able []model.PoolLoad, refusal port.Plan) {
	refusal = port.Plan{Reason: "no pool has an endpoint that takes work", Refused: model.ReasonNoEndpoint}
	for _, pool := range pools {
		if pool.Slots == 0 {
			continue
		}
		if fits(job.Tasks, pool.Largest) {
			able = append(able, pool)
			continue
		}
		refusal = port.Plan{Reason: "no pool has the resources for the job", Refused: model.ReasonNeverFits}
	}
	return able, refusal
}

func fits(tasks []model.Task, has model.Needs) bool {
	for i := range tasks {
		if !tasks[i].Needs.Within(has) {
			return false
		}
	}
	return true
}

// Assemble returns the plan that gives each pool its count of tasks, in the order of the pools.
func Assemble(reason string, pools []model.PoolLoad, counts []int) port.Plan {
	result := port.Plan{Reason: reason}
	next := 0
	for i, count := range counts {
		if count == 0 {
			continue
		}
		part := port.PlanPart{Pool: pools[i].Pool, Owner: pools[i].Owner, Tasks: make([]int, count)}
		for k := range part.Tasks {
			part.Tasks[k] = next
			next++
		}
		result.Parts = append(result.Parts, part)
	}
	return result
}
