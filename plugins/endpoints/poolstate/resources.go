package poolstate

import (
	"slices"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// needsLearnDivisor is the inverse of the weight that a batch's mean needs get in the moving averages.
	needsLearnDivisor = 32
	// maxSpread bounds the deviation of needs: typical needs are at least the average divided by it.
	maxSpread = 2
)

// needsEstimate learns the needs of a task of the service.
type needsEstimate struct {
	average   model.Needs // Moving average.
	deviation model.Needs // Moving average of the absolute difference from the average.
	// typical is the average less the deviation, by which free slots are counted: a task that needs more is put beside
	// one that needs less.
	typical model.Needs
}

// learn adds the mean needs of a batch's tasks.
func (n *needsEstimate) learn(mean model.Needs) {
	if n.average == (model.Needs{}) {
		n.average = mean
	}
	difference := mean.Minus(n.average)
	absolute := difference.Max(difference.Negated())
	n.average = n.average.Plus(difference.DividedBy(needsLearnDivisor))
	n.deviation = n.deviation.Plus(absolute.Minus(n.deviation).DividedBy(needsLearnDivisor))
	n.typical = n.average.Minus(n.deviation).Max(n.average.DividedBy(maxSpread))
}

// learnNeeds adds a batch to the estimate of a task's needs, and counts the free slots anew when that changes typical needs.
func (m *Machine) learnNeeds(b *batch) {
	var sum model.Needs
	for i := range b.Tasks {
		sum = sum.Plus(b.Tasks[i].Needs)
	}
	before := m.needs.typical
	m.needs.learn(sum.DividedBy(len(b.Tasks)))
	if m.needs.typical == before {
		return
	}
	for _, e := range m.endpointList {
		m.updateTotals(e)
	}
}

// fits reports whether each of the tasks fits on some endpoint that is not leaving.
func (m *Machine) fits(tasks []model.Task) bool {
	fitting := model.Needs{}
	for i := range tasks {
		if i > 0 && tasks[i].Needs == fitting {
			continue
		}
		if !m.fitsSomewhere(tasks[i].Needs) {
			return false
		}
		fitting = tasks[i].Needs
	}
	return true
}

// fitsSomewhere reports whether a task with the given needs fits on some endpoint that is not leaving.
func (m *Machine) fitsSomewhere(needs model.Needs) bool {
	return slices.ContainsFunc(m.endpointList, func(e *endpoint) bool {
		return e.live && e.State == model.EndpointServing && needs.FitsIn(e.Has)
	})
}

// roomFor returns how many tasks with the largest needs in the batch could start now if none were queued.
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

// hasRoom reports whether a task with the given needs can be sent to the endpoint now.
func (e *endpoint) hasRoom(needs model.Needs) bool {
	return e.busy() < e.capacity() && needs.FitsIn(e.available())
}

// load returns the endpoint's load. Its free slots are at most the number of tasks with typical needs for which resources
// are left.
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
