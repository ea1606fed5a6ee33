package poolstate

import "redwingpulley/kernel/model"

// Created is what a Machine is made from, apart from its policies.
type Created struct {
	Pool  model.PoolID
	Owner model.NodeID
	Seed  uint64
}

// Machine returns a new machine, as New does.
func (c Created) Machine(policies Policies) *Machine { return New(c.Pool, c.Owner, policies, c.Seed) }
