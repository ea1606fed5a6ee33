package poolstate

import (
	"slices"
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// maxSkipped bounds the search for a task to send: a step ends it once it has skipped more batches than
// this because their next task fits on no endpoint with a free slot, or waits for a faster one. With a bound of 64, more long and
// short jobs of a simulated pool were late, the long ones by 3 to 7 in a hundred; see docs/design/endpoint-speed.md.
const maxSkipped = 8

// dispatchQueued sends the held and queued tasks for which endpoints have room.
func (m *Machine) dispatchQueued(now time.Time, fx *Effects) {
	if m.StartsEnded(now) {
		return
	}
	m.sendHeld(now, fx)
	m.dispatchIsolated(now, fx)
	if m.placer == nil {
		return
	}
	for m.queue.count > 0 && len(m.skipped) <= maxSkipped {
		t := m.queue.first()
		if !m.giveUpAt(t.batch).After(now) {
			m.cancel(now, t.batch, model.ReasonDeadline, fx)
			continue
		}
		choice, ok := m.pick(now, t)
		if ok {
			m.queue.pop()
			m.bind(now, t, choice, fx)
			continue
		}
		if m.totals.free+m.totals.remnants == 0 {
			break
		}
		m.recordWait(now, t.batch, choice.Waits)
		m.queue.remove(t.batch)
		m.skipped = append(m.skipped, t.batch)
	}
	for _, b := range m.skipped {
		m.queue.restore(b)
	}
	clear(m.skipped)
	m.skipped = m.skipped[:0]
	m.waitingForFaster = 0
}

// pick returns the endpoint for a task, or false to leave the task in the queue.
func (m *Machine) pick(now time.Time, t *task) (port.Choice, bool) {
	if t.batch.team.failures.confined {
		return m.pickConfined(t)
	}
	if choice, ok := m.pickProbe(now, t); ok {
		return choice, true
	}
	return m.placer.Pick(m.pickRequest(now, t))
}

func (m *Machine) pickRequest(now time.Time, t *task) port.PickRequest {
	r := port.PickRequest{
		Now: now, Needs: t.spec().Needs, Run: t.run.Mean, Left: m.objectiveLeft(now, t.batch), Ahead: m.waitingForFaster, Disturbed: m.disturbedFor(now, t),
	}
	if m.totals.serving > 1 {
		r.Avoid = t.avoid
	}
	return r
}

// bind sends the task to the chosen endpoint, or holds it there until the endpoint has room.
func (m *Machine) bind(now time.Time, t *task, choice port.Choice, fx *Effects) {
	e := m.endpoints[choice.Endpoint]
	if len(e.held) == 0 && e.hasRoom(t.spec().Needs) {
		m.start(now, t, e, choice.Why, fx)
		return
	}
	t.phase = held
	t.endpoint = e
	e.held = append(e.held, t)
	m.updateTotals(e)
}

// sendHeld sends held tasks to the endpoints that have got room for them.
func (m *Machine) sendHeld(now time.Time, fx *Effects) {
	for i := 0; i < len(m.freed); i++ {
		e := m.freed[i]
		for len(e.held) > 0 && e.hasRoom(e.held[0].spec().Needs) {
			m.sendNextHeld(now, e, fx)
		}
	}
	clear(m.freed)
	m.freed = m.freed[:0]
}

func (m *Machine) sendNextHeld(now time.Time, e *endpoint, fx *Effects) {
	t := e.held[0]
	if !t.latestStart().After(now) {
		m.cancel(now, t.batch, model.ReasonDeadline, fx)
		return
	}
	m.unbind(t)
	m.start(now, t, e, "held for this endpoint", fx)
}

func (m *Machine) unbind(t *task) {
	e := t.endpoint
	i := slices.Index(e.held, t)
	e.held = slices.Delete(e.held, i, i+1)
	t.endpoint = nil
	m.updateTotals(e)
}

// checkStart panics if the task must not be sent to the endpoint. It calls invariant.Check only for a
// violation, since building the arguments allocates.
func (m *Machine) checkStart(t *task, e *endpoint) {
	switch {
	case t.phase == atEndpoint:
		invariant.Check(false, "one-start", "task %s is already at an endpoint", t.id)
	case e.busy() >= e.Slots:
		invariant.Check(false, "slots", "endpoint %s has %d of %d slots taken", e.ID, e.busy(), e.Slots)
	case !t.spec().Needs.FitsIn(e.available()):
		invariant.Check(false, "resources", "endpoint %s has %v left of %v", e.ID, e.available(), e.Has)
	case !e.hasRoom(t.spec().Needs):
		invariant.Check(false, "serving", "endpoint %s takes no work", e.ID)
	}
}

func (m *Machine) start(now time.Time, t *task, e *endpoint, why string, fx *Effects) {
	m.checkStart(t, e)
	if t.attempt == 0 {
		m.retries.deposit(t.batch.profile.RetryBudget)
	}
	t.attempt++
	t.phase = atEndpoint
	t.endpoint, t.slot = e, len(e.tasks)
	t.sentAt, t.unlistedSince = now, time.Time{}
	t.openRevokes, t.unsettledRevokes = 0, 0
	t.timeUnknown = false
	e.tasks = append(e.tasks, t)
	e.taken = e.taken.Plus(t.spec().Needs)
	m.addInFlight(t)
	m.addCompanion(t)
	m.updateTotals(e)
	fx.Starts = append(fx.Starts, Start{
		Task: t.id, Attempt: t.attempt, Endpoint: e.ID, Address: e.Address,
		Deadline: t.batch.Deadline, Payload: t.spec().Payload, Key: t.batch.Key,
	})
	m.logStart(now, t, why, fx)
}

// addInFlight adds the task to those at endpoints and checks that it was not among them.
func (m *Machine) addInFlight(t *task) {
	before := len(m.inFlight)
	m.inFlight[t.id] = t
	if len(m.inFlight) == before {
		invariant.Check(false, "one-start", "task %s is already at an endpoint", t.id)
	}
}
