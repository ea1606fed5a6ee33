package poolstate

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// averageNeedsDivisor is the inverse of the weight that a batch's mean needs get in the moving average.
const averageNeedsDivisor = 32

// maxSpread bounds the deviation of needs: free slots are counted by at least the average divided by it.
const maxSpread = 2

// learnAverageNeeds adds a batch to the moving averages of the needs of a task and of their deviation. Free slots are
// counted by the needs that a smaller task has: tasks that need more are put beside those that need less.
func (m *Machine) learnAverageNeeds(b *batch) {
	var sum model.Needs
	for i := range b.Tasks {
		sum = sum.Plus(b.Tasks[i].Needs)
	}
	mean := sum.DividedBy(len(b.Tasks))
	before := m.typicalNeeds
	if m.averageNeeds == (model.Needs{}) {
		m.averageNeeds = mean
	}
	off := mean.Minus(m.averageNeeds)
	m.averageNeeds = m.averageNeeds.Plus(off.DividedBy(averageNeedsDivisor))
	m.needsDeviation = m.needsDeviation.Plus(off.Max(off.Negated()).Minus(m.needsDeviation).DividedBy(averageNeedsDivisor))
	m.typicalNeeds = m.averageNeeds.Minus(m.needsDeviation).Max(m.averageNeeds.DividedBy(maxSpread))
	if m.typicalNeeds == before {
		return
	}
	for _, e := range m.endpointList {
		m.updateTotals(e)
	}
}

// roomFor returns how many tasks like those of the batch could start now if none were queued.
func (m *Machine) roomFor(b *batch) int {
	largest := model.Needs{}
	for i := range b.Tasks {
		largest = largest.Max(b.Tasks[i].Needs)
	}
	if largest == (model.Needs{}) {
		return m.totals.free
	}
	room := 0
	for _, e := range m.endpointList {
		if free := e.schedulableSlots() - e.busy() - len(e.held); free > 0 {
			room += min(free, e.available().CountFitting(largest))
		}
	}
	return room
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

// load returns the endpoint's load. Its free slots are at most the number of tasks with the given needs
// for which resources are left.
func (e *endpoint) load(typicalNeeds model.Needs) port.EndpointLoad {
	load := port.EndpointLoad{ID: e.ID, Slots: e.schedulableSlots(), Left: e.available()}
	if load.Slots == 0 {
		return load
	}
	free := max(load.Slots-e.busy(), 0)
	if fitting := load.Left.CountFitting(typicalNeeds); fitting < free {
		load.Slots -= free - fitting
		load.Remnant = fitting == 0 && len(e.held) == 0
		free = fitting
	}
	load.Free = free - len(e.held)
	return load
}
