package poolstate

import (
	"slices"

	"redwingpulley/kernel/model"
)

// Handover returns the endpoints within their lease for the pool's next owner, each with the tasks
// that are there as far as this owner knows.
func (m *Machine) Handover() []model.Endpoint {
	var all []model.Endpoint
	for _, e := range m.members {
		if !e.live || e.away {
			continue // It may have told another member something newer.
		}
		told := e.Endpoint
		told.Running = slices.Clone(e.foreign)
		for _, t := range e.tasks {
			told.Running = append(told.Running, t.id)
		}
		all = append(all, told)
	}
	return all
}

// Open returns the number of batches that have not ended.
func (m *Machine) Open() int { return len(m.batches) }
