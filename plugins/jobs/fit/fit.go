// Package fit tells jobs that can never run from jobs that have to wait.
package fit

import (
	"time"

	"redwingpulley/kernel/model"
)

// declaredError is by how much a declared run time may exceed the true one. A job is refused for
// good only when it cannot end in time even then.
const declaredError = 10

// Check reports whether the job could run on an empty system. When it never fits, why says what is
// lacking. Services without a serving endpoint are left to the plan: their endpoints may come back.
func Check(job model.Job, pools []model.PoolLoad, now time.Time) (why string, fits bool) {
	slots := 0
	for _, pool := range pools {
		slots += pool.Slots
	}
	if slots == 0 {
		return "", true
	}
	for _, task := range job.Tasks {
		if !anyHas(pools, task.Needs) {
			return "no worker has the cores, memory or accelerators of a task", false
		}
	}
	return inTime(job, slots, job.Deadline.Sub(now))
}

func anyHas(pools []model.PoolLoad, needs model.Needs) bool {
	for _, pool := range pools {
		if pool.Slots > 0 && needs.Within(pool.Largest) {
			return true
		}
	}
	return false
}

// inTime compares the least run time that the declarations allow with what the slots can do before
// the deadline.
func inTime(job model.Job, slots int, remaining time.Duration) (why string, fits bool) {
	var longest, total time.Duration
	for _, task := range job.Tasks {
		least := task.Declared / declaredError
		longest = max(longest, least)
		total += least
	}
	if longest > remaining {
		return "a task runs longer than the deadline allows", false
	}
	if total/time.Duration(slots) > remaining {
		return "there are not slots enough to run all tasks before the deadline", false
	}
	return "", true
}
