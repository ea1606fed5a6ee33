package poolstate

import (
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// usualWeight is the weight of a batch's mean needs in the average.
const usualWeight = 8

// learnUsual takes a batch's needs into the average, by which free slots are counted.
func (m *Machine) learnUsual(b *batch) {
	var sum model.Needs
	for i := range b.Tasks {
		sum = sum.Plus(b.Tasks[i].Needs)
	}
	mean := sum.Part(len(b.Tasks))
	before := m.usual
	if m.usual == (model.Needs{}) {
		m.usual = mean
	} else {
		m.usual = m.usual.Plus(mean.Less(m.usual).Part(usualWeight))
	}
	if m.usual == before {
		return
	}
	for _, e := range m.members {
		m.refresh(e)
	}
}

// left returns the resources that no task there has taken.
func (e *endpoint) left() model.Needs { return e.Has.Less(e.taken).Less(e.absent) }

// lacking returns what must be in use by others at an endpoint that has no room for a task which was
// counted there: all that was thought to be left beside it, and some of its own.
func (e *endpoint) lacking(needs model.Needs) model.Needs {
	if needs.MilliCores == 0 {
		return model.Needs{} // Something else than cores has run out.
	}
	return model.Needs{MilliCores: max(e.left().MilliCores, 0) + 1}
}

func (e *endpoint) room(needs model.Needs) bool {
	return e.busy() < e.capacity() && needs.Within(e.left())
}

// load returns the endpoint's load. The tasks of the usual needs for which resources are left bound
// the free slots.
func (e *endpoint) load(usual model.Needs) port.EndpointLoad {
	load := port.EndpointLoad{ID: e.ID, Slots: e.offered(), Left: e.left()}
	if load.Slots == 0 {
		return load
	}
	free := max(load.Slots-e.busy(), 0)
	if fitting := load.Left.Count(usual); fitting < free {
		load.Slots -= free - fitting
		free = fitting
	}
	load.Free = free - len(e.held)
	return load
}
