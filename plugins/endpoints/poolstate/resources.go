package poolstate

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// averageNeedsDivisor is the inverse of the weight that a batch's mean needs get in the moving average.
const averageNeedsDivisor = 8

// learnAverageNeeds adds a batch to the moving average of the needs of a task, by which free slots are
// counted.
func (m *Machine) learnAverageNeeds(b *batch) {
	var sum model.Needs
	for i := range b.Tasks {
		sum = sum.Plus(b.Tasks[i].Needs)
	}
	mean := sum.DividedBy(len(b.Tasks))
	before := m.averageNeeds
	if m.averageNeeds == (model.Needs{}) {
		m.averageNeeds = mean
	} else {
		m.averageNeeds = m.averageNeeds.Plus(mean.Minus(m.averageNeeds).DividedBy(averageNeedsDivisor))
	}
	if m.averageNeeds == before {
		return
	}
	for _, e := range m.endpointList {
		m.updateTotals(e)
	}
}

// available returns the resources of the endpoint that are not in use, as far as the pool knows.
func (e *endpoint) available() model.Needs { return e.Has.Minus(e.taken).Minus(e.blockedNeeds) }

// usedByOthers returns what must be in use by others at an endpoint that refused a task although the
// pool counted enough resources for it: all that seemed to be left beside the task, and one milli-core
// of the task's own needs, so that a task as large does not fit until the assumption ends.
func (e *endpoint) usedByOthers(needs model.Needs) model.Needs {
	if needs.MilliCores == 0 {
		return model.Needs{} // Something other than cores has run out.
	}
	return model.Needs{MilliCores: max(e.available().MilliCores, 0) + 1}
}

func (e *endpoint) hasRoom(needs model.Needs) bool {
	return e.busy() < e.capacity() && needs.FitsIn(e.available())
}

// load returns the endpoint's load. Its free slots are at most the number of tasks with average needs
// for which resources are left.
func (e *endpoint) load(averageNeeds model.Needs) port.EndpointLoad {
	load := port.EndpointLoad{ID: e.ID, Slots: e.schedulableSlots(), Left: e.available()}
	if load.Slots == 0 {
		return load
	}
	free := max(load.Slots-e.busy(), 0)
	if fitting := load.Left.CountFitting(averageNeeds); fitting < free {
		load.Slots -= free - fitting
		load.Remnant = fitting == 0 && len(e.held) == 0
		free = fitting
	}
	load.Free = free - len(e.held)
	return load
}
