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
		if !m.giveUpAt(t.batch).After(now) {
			m.cancel(now, t.batch, model.ReasonDeadline, fx)
			continue
		}
		choice, ok := m.probe(now, t)
		if !ok {
			choice, ok = m.placer.Pick(m.request(now, t))
		}
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
	if len(e.held) == 0 && e.room(t.spec().Needs) {
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
		for len(e.held) > 0 && e.room(e.held[0].spec().Needs) {
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

// checkStart stops the process before a task is sent that must not be. The arguments of a violation
// are put together only when there is one, since that allocates.
func (m *Machine) checkStart(t *task, e *endpoint) {
	switch {
	case t.place == atEndpoint:
		invariant.Check(false, "one-start", "task %s is already at an endpoint", t.id)
	case e.busy() >= e.Slots:
		invariant.Check(false, "slots", "endpoint %s has %d of %d slots taken", e.ID, e.busy(), e.Slots)
	case !t.spec().Needs.Within(e.left()):
		invariant.Check(false, "resources", "endpoint %s has %v left of %v", e.ID, e.left(), e.Has)
	case !e.room(t.spec().Needs):
		invariant.Check(false, "serving", "endpoint %s takes no work", e.ID)
	}
}

func (m *Machine) start(now time.Time, t *task, e *endpoint, why string, fx *Effects) {
	m.checkStart(t, e)
	if t.attempt == 0 {
		m.retries.earn(t.batch.profile.RetryBudget)
	}
	t.attempt++
	t.place = atEndpoint
	t.endpoint, t.slot = e, len(e.tasks)
	t.sent, t.unlisted = now, time.Time{}
	t.asking, t.silences = 0, 0
	e.tasks = append(e.tasks, t)
	e.taken = e.taken.Plus(t.spec().Needs)
	m.fly(t)
	m.refresh(e)
	fx.Starts = append(fx.Starts, Start{
		Task: t.id, Attempt: t.attempt, Endpoint: e.ID, Address: e.Address,
		Deadline: t.batch.Deadline, Payload: t.spec().Payload, Key: t.batch.Key,
	})
	m.noteStart(now, t, why, fx)
}

// fly lists the task among those at endpoints, where it must not be already.
func (m *Machine) fly(t *task) {
	before := len(m.flights)
	m.flights[t.id] = t
	if len(m.flights) == before {
		invariant.Check(false, "one-start", "task %s is already at an endpoint", t.id)
	}
}
