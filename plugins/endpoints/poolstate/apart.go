package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/crashes"
)

// A task under which an endpoint may have crashed is a suspect. It runs apart: alone at an endpoint. A second crash then tells who
// is to blame, and takes no other task along. All suspects together hold a bounded part of the pool's endpoints, in which those
// count that are down since one was there, until their next incarnations announce themselves.

// endpointsPerSuspect is the number of live endpoints for each that suspects may hold; they may always hold one.
const endpointsPerSuspect = 6

// apart holds the suspects of a pool that wait for an endpoint of their own.
type apart struct {
	waiting []*task // Oldest first. Those whose phase has changed are removed by the next step.
}

// suspect reports whether the task has to run apart.
func (t *task) suspect() bool { return crashes.Judge(t.losses) == crashes.Suspect }

// enqueueApart makes a suspect wait for an endpoint of its own.
func (m *Machine) enqueueApart(t *task) {
	t.phase = waitingApart
	m.apart.waiting = append(m.apart.waiting, t)
	if at := t.latestStart(); at.Before(m.nextTimerAt(t.batch)) {
		m.timers.set(&t.batch.timer, at)
	}
}

// dispatchApart starts the suspects for which there are idle endpoints, and reserves endpoints for others, within the bound.
func (m *Machine) dispatchApart(now time.Time, fx *Effects) {
	if len(m.apart.waiting) == 0 {
		return
	}
	waiting := m.apart.waiting
	m.apart.waiting = nil
	for _, t := range waiting {
		switch {
		case t.phase != waitingApart:
		case !t.latestStart().After(now):
			m.cancel(now, t.batch, model.ReasonDeadline, fx)
		case !m.startApart(now, t, fx):
			m.apart.waiting = append(m.apart.waiting, t)
		}
	}
	m.reserveApart()
}

// startApart starts a suspect at an idle endpoint, and reports whether it has found one. A reserved endpoint goes first.
func (m *Machine) startApart(now time.Time, t *task, fx *Effects) bool {
	var chosen *endpoint
	for _, e := range m.endpointList {
		if e.idle() && e.takesApart(t) && (chosen == nil || e.apart && !chosen.apart) {
			chosen = e
		}
	}
	if chosen == nil || !chosen.apart && m.heldApart() >= m.maxApart() {
		return false
	}
	chosen.apart = false // So that it takes the task.
	m.start(now, t, chosen, "alone, since an endpoint may have crashed under the task", fx)
	chosen.apart, chosen.suspect = true, t
	t.batch.started = true
	m.updateTotals(chosen)
	return true
}

// reserveApart reserves endpoints for waiting suspects, and gives back those that none needs. A reserved endpoint gets no work
// until it is idle.
func (m *Machine) reserveApart() {
	needed := len(m.apart.waiting)
	for _, e := range m.endpointList {
		switch {
		case !e.apart || e.down || e.suspect != nil:
		case needed > 0:
			needed--
		default:
			m.setApart(e, false)
		}
	}
	for ; needed > 0 && m.heldApart() < m.maxApart(); needed-- {
		t := m.apart.waiting[len(m.apart.waiting)-needed]
		candidates := slices.DeleteFunc(slices.Clone(m.endpointList), func(e *endpoint) bool { return e.apart || !e.takesApart(t) })
		if len(candidates) == 0 {
			return
		}
		m.setApart(slices.MinFunc(candidates, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.busy(), b.busy()), cmp.Compare(a.ID, b.ID))
		}), true)
	}
}

func (m *Machine) setApart(e *endpoint, reserved bool) {
	e.apart = reserved
	m.updateTotals(e)
	m.requeueHeldIfUnavailable(e)
}

// idle reports whether nothing runs at the endpoint and nothing is bound to it, as far as the pool knows.
func (e *endpoint) idle() bool { return e.busy()+len(e.held) == 0 }

// takesApart reports whether a suspect may run at the endpoint once it is idle.
func (e *endpoint) takesApart(t *task) bool {
	return e.live && !e.down && !e.cordon && !e.confined && e.State == model.EndpointServing && e.health.status == healthy &&
		e.ID != t.avoid && t.spec().Needs.FitsIn(e.Has.Minus(e.blockedNeeds))
}

// maxApart returns the number of endpoints that all suspects together may hold.
func (m *Machine) maxApart() int { return max(m.live/endpointsPerSuspect, 1) }

// heldApart returns the number of endpoints that suspects hold: those that run one, are reserved, or are down since one ran there.
func (m *Machine) heldApart() (held int) {
	for _, e := range m.endpointList {
		if e.apart && e.live {
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
