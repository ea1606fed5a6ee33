package jobstate

import "redwingpulley/kernel/model"

// Created is what a Job is made from.
type Created struct {
	Job       model.Job
	Self      model.NodeID
	Retention Retention
}

// Machine returns the state of a new job, as New does.
func (c Created) Machine() *Job { return New(c.Job, c.Self, c.Retention) }
