package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
)

// estimate learns how long the service's tasks run, since declared run times are often far off.
type estimate struct {
	mean time.Duration // Exponentially weighted; 0 until a task has ended.
}

// of returns the estimated run time of a task.
func (e *estimate) of(profile model.Profile, task model.Task) time.Duration {
	if e.mean > 0 {
		return e.mean
	}
	if task.Declared > 0 {
		return task.Declared
	}
	return profile.DefaultRunTime
}

func (e *estimate) learn(weight float64, run time.Duration) {
	if e.mean == 0 {
		e.mean = run
		return
	}
	e.mean += time.Duration(weight * float64(run-e.mean))
}
