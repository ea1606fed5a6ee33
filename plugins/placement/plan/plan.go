// Package plan holds what the placement plug-ins share: the choice of the pools that can run a job,
// the assembly of a plan, and the list of endpoints from which the simple policies pick. It is not a
// plug-in itself, and like the policies it decides from its arguments alone.
package plan

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// EligiblePools returns the pools whose endpoints can run each task of the job. When there are none,
// refusal is the plan that refuses the job.
func EligiblePools(job model.Job, pools []model.PoolLoad) (eligible []model.PoolLoad, refusal port.Plan) {
	refusal = port.Plan{Reason: "no pool has an endpoint that takes work", Refused: model.ReasonNoEndpoint}
	for _, pool := range pools {
		if pool.Slots == 0 {
			continue
		}
		if allFit(job.Tasks, pool.Largest) {
			eligible = append(eligible, pool)
			continue
		}
		refusal = port.Plan{Reason: "no pool has the resources for the job", Refused: model.ReasonNeverFits}
	}
	return eligible, refusal
}

// allFit reports whether each task can run on the given resources.
func allFit(tasks []model.Task, has model.Needs) bool {
	for i := range tasks {
		if !tasks[i].Needs.FitsIn(has) {
			return false
		}
	}
	return true
}

// Assemble returns the plan that gives pools[i] the next counts[i] tasks, in the order of the pools.
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
