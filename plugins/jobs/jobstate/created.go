package jobstate

import "redwingpulley/kernel/model"

// Created holds the arguments from which the state of a new job is made, so that a recorded job can
// be made again for a replay.
type Created struct {
	Job       model.Job
	Self      model.NodeID // Member that owns the job.
	Retention Retention
}

// Machine returns the state machine of the new job, as New does.
func (c Created) Machine() *Job { return New(c.Job, c.Self, c.Retention) }
