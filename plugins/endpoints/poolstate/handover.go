package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Handover returns the endpoints within their lease for the pool's next owner, each with the tasks
// that are there as far as this owner knows.
func (m *Machine) Handover() []model.Endpoint {
	var all []model.Endpoint
	for _, e := range m.members {
		if !e.live || e.away {
			continue // It may have told another member something newer.
		}
		told := e.Endpoint
		told.Running = slices.Clone(e.foreign)
		for _, t := range e.tasks {
			told.Running = append(told.Running, t.id)
		}
		told.Taken = e.taken.Plus(e.absent)
		all = append(all, told)
	}
	return all
}

// crowd takes resources of a leased endpoint to be used by tasks that this owner did not send, until
// their ends may have come or the endpoint says otherwise.
func (m *Machine) crowd(now time.Time, e *endpoint, tasks int, needs model.Needs) {
	e.refusals += tasks
	e.absent = e.absent.Plus(needs)
	m.timers.set(&e.crowded, now.Add(crowdedTime))
}

// departed gives leased endpoints no more work that other pools have by now.
func (m *Machine) departed(ids []model.EndpointID) {
	for _, id := range ids {
		if e, known := m.endpoints[id]; known && e.Leased {
			m.away(e)
		}
	}
}

// Serving returns the number of endpoints that get work.
func (m *Machine) Serving() int { return m.totals.serving }

// giveBack refuses the batches of which nothing was started when no endpoint works for this owner any
// more. Their origins send them to the pool's next owner.
func (m *Machine) giveBack(now time.Time, fx *Effects) {
	if m.totals.serving > 0 {
		return
	}
	var waiting []*batch
	for _, b := range m.batches {
		if !b.started {
			waiting = append(waiting, b)
		}
	}
	slices.SortFunc(waiting, func(a, b *batch) int { return cmp.Compare(a.order, b.order) })
	for _, b := range waiting {
		m.refuse(now, b, model.ReasonMoved, fx)
	}
}

// refuse ends a batch that was taken on and of which nothing was started.
func (m *Machine) refuse(now time.Time, b *batch, reason model.Reason, fx *Effects) {
	d := m.decision(now, port.DecidedBatchNo, b)
	d.Reason, d.Why = reason, refusals[reason]
	fx.Decisions = append(fx.Decisions, d)
	m.queue.remove(b)
	b.waiting = nil
	for i := range b.tasks {
		if t := &b.tasks[i]; t.place == held {
			m.unhold(t)
		}
		b.tasks[i].place = ended
	}
	m.close(b)
	result := model.RefusedBatch(b.ID, reason)
	result.Load = m.Load()
	fx.Ended = append(fx.Ended, result)
}

// Open returns the number of batches that have not ended.
func (m *Machine) Open() int { return len(m.batches) }
