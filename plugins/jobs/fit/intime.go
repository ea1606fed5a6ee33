package fit

import (
	"time"

	"redwingpulley/kernel/model"
)

// UselessBy returns by how much a job would end too late for its answer to be of use, or by how much its last task, which starts after the
// given wait, would start after the deadline. The result is not above 0 when neither is so, or when the answer is always of use.
func UselessBy(job *model.Job, wait time.Duration, pools []model.PoolLoad, now time.Time) time.Duration {
	if job.Objective.Useful <= 0 {
		return 0
	}
	run := longestRun(job, pools)
	untilDeadline := job.Deadline.Sub(now)
	return max(wait+run-job.Objective.UsefulFor(run)+age(job, now), wait-untilDeadline)
}

// LateBy returns by how much a job would miss its objective if its last task starts after the given wait. The result is not
// above 0 when the job would meet it or has no objective.
func LateBy(job *model.Job, wait time.Duration, pools []model.PoolLoad, now time.Time) time.Duration {
	if job.Objective == (model.Objective{}) {
		return 0
	}
	run := longestRun(job, pools)
	return wait + run - job.Objective.For(run) + age(job, now)
}

// longestRun estimates the run time of the job's longest task: the longest of the declared run times and of the means that the
// pools have learned. Both are often off; a high estimate gives a job more time.
func longestRun(job *model.Job, pools []model.PoolLoad) (longest time.Duration) {
	for i := range job.Tasks {
		longest = max(longest, job.Tasks[i].Declared)
	}
	for i := range pools {
		longest = max(longest, pools[i].MeanRun)
	}
	return longest
}

// age returns the time since the job was submitted; 0 if that is not known.
func age(job *model.Job, now time.Time) time.Duration {
	if job.Submitted.IsZero() {
		return 0
	}
	return max(now.Sub(job.Submitted), 0)
}
