package poolstate

import (
	"redwingpulley/kernel/model"
	"redwingpulley/plugins/endpoints/speed"
)

// Created holds the parameters of a Machine other than its policies. A record of steps begins with
// it, so that a replay can create an equal machine.
type Created struct {
	Pool  model.PoolID
	Owner model.NodeID
	Seed  uint64
	// LearnSpeeds says that the machine learns how fast its endpoints are, and places tasks by that.
	LearnSpeeds bool `json:",omitempty"`
	// SeparateInterfering says that classes of tasks that slow each other down are kept apart; see separation.
	SeparateInterfering bool `json:",omitempty"`
}

// Machine returns a new machine with these parameters, as New does.
func (c Created) Machine(policies Policies) *Machine {
	m := New(c.Pool, c.Owner, policies, c.Seed)
	if c.LearnSpeeds {
		m.speeds = speed.NewTable()
	}
	if c.SeparateInterfering {
		m.separateInterfering()
	}
	return m
}
