package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/crashes"
)

// A task under which an endpoint may have crashed is isolated: it runs alone at an endpoint. A second crash then tells who
// is to blame, and takes no other task along. All isolated tasks together hold a bounded part of the pool's endpoints, in which those
// count that are down since one was there, until their next incarnations announce themselves.

// endpointsPerIsolated is the number of live endpoints for each that isolated tasks may hold; they may always hold one.
const endpointsPerIsolated = 6

// isolation holds the isolated tasks of a pool that wait for an endpoint of their own.
type isolation struct {
	waiting []*task // Oldest first. Those whose phase has changed are removed by the next step.
}

// isolated reports whether the task has to run alone.
func (t *task) isolated() bool { return crashes.Judge(t.losses) == crashes.Isolate }

// enqueueIsolated makes an isolated task wait for an endpoint of its own.
func (m *Machine) enqueueIsolated(t *task) {
	t.phase = waitingIsolated
	m.isolation.waiting = append(m.isolation.waiting, t)
	if at := t.latestStart(); at.Before(m.nextTimerAt(t.batch)) {
		m.timers.set(&t.batch.timer, at)
	}
}

// dispatchIsolated starts the isolated tasks for which there are idle endpoints, and reserves endpoints for others, within the bound.
func (m *Machine) dispatchIsolated(now time.Time, fx *Effects) {
	if len(m.isolation.waiting) == 0 {
		return
	}
	waiting := m.isolation.waiting
	m.isolation.waiting = nil
	for _, t := range waiting {
		switch {
		case t.phase != waitingIsolated:
		case !t.latestStart().After(now):
			m.cancel(now, t.batch, model.ReasonDeadline, fx)
		case !m.startIsolated(now, t, fx):
			m.isolation.waiting = append(m.isolation.waiting, t)
		}
	}
	m.reserveIsolated()
}

// startIsolated starts an isolated task at an idle endpoint, and reports whether it has found one. A reserved endpoint goes first.
func (m *Machine) startIsolated(now time.Time, t *task, fx *Effects) bool {
	var chosen *endpoint
	for _, e := range m.endpointList {
		if e.idle() && e.takesIsolated(t) && (chosen == nil || e.isolated && !chosen.isolated) {
			chosen = e
		}
	}
	if chosen == nil || !chosen.isolated && m.heldIsolated() >= m.maxIsolated() {
		return false
	}
	chosen.isolated = false // So that it takes the task.
	m.start(now, t, chosen, "alone, since an endpoint may have crashed under the task", fx)
	chosen.isolated, chosen.occupant = true, t
	t.batch.started = true
	m.updateTotals(chosen)
	return true
}

// reserveIsolated reserves endpoints for waiting tasks, and gives back those that none needs. A reserved endpoint gets no work
// until it is idle.
func (m *Machine) reserveIsolated() {
	needed := len(m.isolation.waiting)
	for _, e := range m.endpointList {
		switch {
		case !e.isolated || e.down || e.occupant != nil:
		case needed > 0:
			needed--
		default:
			m.setIsolated(e, false)
		}
	}
	for ; needed > 0 && m.heldIsolated() < m.maxIsolated(); needed-- {
		t := m.isolation.waiting[len(m.isolation.waiting)-needed]
		candidates := slices.DeleteFunc(slices.Clone(m.endpointList), func(e *endpoint) bool { return e.isolated || !e.takesIsolated(t) })
		if len(candidates) == 0 {
			return
		}
		m.setIsolated(slices.MinFunc(candidates, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.busy(), b.busy()), cmp.Compare(a.ID, b.ID))
		}), true)
	}
}

func (m *Machine) setIsolated(e *endpoint, reserved bool) {
	e.isolated = reserved
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
}

// idle reports whether nothing runs at the endpoint and nothing is bound to it, as far as the pool knows.
func (e *endpoint) idle() bool { return e.busy()+len(e.held) == 0 }

// takesIsolated reports whether an isolated task may run at the endpoint once it is idle.
func (e *endpoint) takesIsolated(t *task) bool {
	return e.live && !e.down && !e.cordon && !e.confined && e.State == model.EndpointServing && e.health.status == healthy &&
		e.ID != t.avoid && t.spec().Needs.FitsIn(e.Has.Minus(e.blockedNeeds))
}

// maxIsolated returns the number of endpoints that all isolated tasks together may hold.
func (m *Machine) maxIsolated() int { return max(m.live/endpointsPerIsolated, 1) }

// heldIsolated returns the number of endpoints that isolated tasks hold: those that run one, are reserved, or are down since one ran there.
func (m *Machine) heldIsolated() (held int) {
	for _, e := range m.endpointList {
		if e.isolated && e.live {
			held++
		}
	}
	return held
}

// recordLoss records that the run of a task at its endpoint was lost for the given cause.
func (t *task) recordLoss(cause port.LossCause) {
	if loss, counts := crashes.LossOf(t.endpoint.ID, cause); counts {
		t.losses, _ = crashes.Add(t.losses, loss)
	}
}

// giveUpExhausted ends a batch that has just been accepted if too many endpoints have crashed under one of its tasks before.
func (m *Machine) giveUpExhausted(now time.Time, b *batch, fx *Effects) {
	for i := range b.tasks {
		if crashes.Judge(b.tasks[i].losses) == crashes.Exhausted {
			m.cancel(now, b, model.ReasonEndpointsCrashed, fx)
			return
		}
	}
}
