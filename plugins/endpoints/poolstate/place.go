package poolstate

import (
	"slices"
	"time"

	"redwingpulley/kernel/invariant"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// maxSkipped bounds the batches that are passed over in one step because their next task fits on
// no endpoint with a free slot.
const maxSkipped = 8

// place sends the tasks that endpoints have room for.
func (m *Machine) place(now time.Time, fx *Effects) {
	m.sendHeld(now, fx)
	if m.placer == nil {
		return
	}
	for m.queue.count > 0 && len(m.skipped) <= maxSkipped {
		t := m.queue.first()
		if !t.lastStart().After(now) {
			m.due(now, t.batch, fx)
			continue
		}
		choice, ok := m.placer.Pick(m.request(now, t))
		if ok {
			m.queue.take()
			m.bind(now, t, choice, fx)
			continue
		}
		if m.totals.free == 0 {
			break
		}
		m.queue.remove(t.batch)
		m.skipped = append(m.skipped, t.batch)
	}
	for _, b := range m.skipped {
		m.queue.restore(b)
	}
	clear(m.skipped)
	m.skipped = m.skipped[:0]
}

func (m *Machine) request(now time.Time, t *task) port.PickRequest {
	r := port.PickRequest{Now: now, Needs: t.spec().Needs, Run: t.run.mean}
	if m.totals.serving > 1 {
		r.Avoid = t.avoid
	}
	return r
}

// bind sends the task to the chosen endpoint, or holds it until a slot there is free.
func (m *Machine) bind(now time.Time, t *task, choice port.Choice, fx *Effects) {
	e := m.endpoints[choice.Endpoint]
	if len(e.held) == 0 && e.room() {
		m.start(now, t, e, choice.Why, fx)
		return
	}
	t.place = held
	t.endpoint = e
	e.held = append(e.held, t)
	m.refresh(e)
}

// sendHeld sends held tasks to endpoints where slots have become free.
func (m *Machine) sendHeld(now time.Time, fx *Effects) {
	for i := 0; i < len(m.freed); i++ {
		e := m.freed[i]
		for len(e.held) > 0 && e.room() {
			m.sendNextHeld(now, e, fx)
		}
	}
	clear(m.freed)
	m.freed = m.freed[:0]
}

func (m *Machine) sendNextHeld(now time.Time, e *endpoint, fx *Effects) {
	t := e.held[0]
	if !t.lastStart().After(now) {
		m.cancel(now, t.batch, model.ReasonDeadline, fx)
		return
	}
	m.unhold(t)
	m.start(now, t, e, "held for this endpoint", fx)
}

func (m *Machine) unhold(t *task) {
	e := t.endpoint
	i := slices.Index(e.held, t)
	e.held = slices.Delete(e.held, i, i+1)
	t.endpoint = nil
	m.refresh(e)
}

func (m *Machine) start(now time.Time, t *task, e *endpoint, why string, fx *Effects) {
	_, flying := m.flights[t.id]
	invariant.Check(!flying && t.place != atEndpoint, "one-start", "task %s is already at an endpoint", t.id)
	invariant.Check(e.busy() < e.Slots, "slots", "endpoint %s has %d of %d slots taken", e.ID, e.busy(), e.Slots)
	invariant.Check(e.room(), "serving", "endpoint %s takes no work", e.ID)
	if t.attempt == 0 {
		m.retries.earn(t.batch.profile.RetryBudget)
	}
	t.attempt++
	t.place = atEndpoint
	t.endpoint, t.slot, t.sent = e, len(e.tasks), now
	t.asking, t.silences = 0, 0
	e.tasks = append(e.tasks, t)
	m.flights[t.id] = t
	m.refresh(e)
	fx.Starts = append(fx.Starts, Start{
		Task: t.id, Attempt: t.attempt, Endpoint: e.ID, Address: e.Address,
		Deadline: t.batch.Deadline, Payload: t.spec().Payload,
	})
	fx.Decisions = append(fx.Decisions, Decision{
		Batch: t.batch.ID, Task: t.spec().Index, Endpoint: e.ID, Why: why, PassedOver: len(m.members) - 1,
	})
}
