// Package fit distinguishes jobs that can never run from jobs that only have to wait.
package fit

import (
	"time"

	"redwingpulley/kernel/model"
)

// maxDeclaredFactor is the factor by which a declared run time may exceed the true one. A job is
// refused as one that never fits only if it cannot end in time even then.
const maxDeclaredFactor = 10

// Check reports whether the job could run if nothing else did. When it never fits, why says what is
// lacking. A job of a service without a serving endpoint passes, since endpoints may come back; the
// placement policy refuses it.
func Check(job model.Job, pools []model.PoolLoad, now time.Time) (why string, fits bool) {
	slots := 0
	for _, pool := range pools {
		slots += pool.Slots
	}
	if slots == 0 {
		return "", true
	}
	for _, task := range job.Tasks {
		if !anyPoolHas(pools, task.Needs) {
			return "no worker has the cores, memory or accelerators of a task", false
		}
	}
	return fitsDeadline(job, slots, job.Deadline.Sub(now))
}

// anyPoolHas reports whether some pool has the resources for a task of the given needs.
func anyPoolHas(pools []model.PoolLoad, needs model.Needs) bool {
	for _, pool := range pools {
		if pool.Slots > 0 && needs.FitsIn(pool.Largest) {
			return true
		}
	}
	return false
}

// fitsDeadline reports whether the job can end in the remaining time if each task runs for the least
// time that its declaration allows and the job has all slots to itself.
func fitsDeadline(job model.Job, slots int, remaining time.Duration) (why string, fits bool) {
	var longest, total time.Duration
	for _, task := range job.Tasks {
		least := task.Declared / maxDeclaredFactor
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
