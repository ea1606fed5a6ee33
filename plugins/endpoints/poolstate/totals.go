package poolstate

import "redwingpulley/kernel/model"

// contribution is the share of one endpoint in the pool's totals.
type contribution struct {
	slots    int
	free     int
	held     int
	serving  int // 1 while the endpoint gets work, otherwise 0.
	speed    int // Slots times the endpoint's speed.
	freeFast int // Free slots of an endpoint that is clearly faster than the pool's mean.
	slow     int // 1 while the endpoint is much slower than the pool's mean, otherwise 0.
	remnant  int // 1 while the endpoint's load is a remnant, otherwise 0; see port.EndpointLoad.
}

// totals are sums over the endpoints that get work.
type totals struct {
	slots        int
	free         int
	held         int
	serving      int         // Number of endpoints that get work.
	speed        int         // Sum of the slots times the speeds of their endpoints; over the slots it is the pool's mean speed.
	freeFast     int         // Free slots of endpoints that are clearly faster than the mean.
	slow         int         // Number of endpoints that are much slower than the mean.
	remnants     int         // Number of endpoints whose load is a remnant.
	largest      model.Needs // Result of Machine.largest, unless largestStale.
	largestStale bool
}

// updateTotals updates the pool's totals and the placer after a change of the endpoint.
func (m *Machine) updateTotals(e *endpoint) {
	load := m.loadOf(e)
	now := contribution{slots: load.Slots, held: len(e.held), serving: min(e.schedulableSlots(), 1)}
	if load.Slots > 0 {
		now.free = load.Free + now.held
	}
	if load.Remnant {
		now.remnant = 1
	}
	now.setSpeed(e, load)
	was := e.counted
	e.counted = now
	m.recordStatusChange(e)
	m.totals.free += now.free - was.free
	m.totals.held += now.held - was.held
	m.totals.serving += now.serving - was.serving
	m.totals.remnants += now.remnant - was.remnant
	m.totals.addSpeed(was, now)
	if now.slots != was.slots || now.serving != was.serving {
		m.applySlotChange(was, now)
	}
	if m.placer != nil {
		m.placer.Update(load)
	}
	if len(e.held) > 0 && e.hasRoom(e.held[0].spec().Needs) {
		m.freed = append(m.freed, e)
	}
}

// applySlotChange updates what depends on the number of slots or of endpoints that get work.
func (m *Machine) applySlotChange(was, now contribution) {
	m.totals.slots += now.slots - was.slots
	m.queue.resize(m.totals.slots)
	m.totals.largestStale = m.totals.largestStale || now.serving != was.serving
}

// largest returns the componentwise maximum of the resources of endpoints that are not leaving. It
// includes endpoints in quarantine, since a task that fits on one of them can run there later.
func (m *Machine) largest() model.Needs {
	if !m.totals.largestStale {
		return m.totals.largest
	}
	m.totals.largestStale = false
	m.totals.largest = model.Needs{}
	for _, e := range m.endpointList {
		if e.live && e.State == model.EndpointServing {
			m.totals.largest = m.totals.largest.Max(e.Has)
		}
	}
	return m.totals.largest
}
