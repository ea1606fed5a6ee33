package poolstate

import (
	"cmp"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Handover returns, for the pool's next owner, the endpoints within their lease, each with the tasks
// that run there as far as this owner knows.
func (m *Machine) Handover() []model.Endpoint {
	var all []model.Endpoint
	for _, e := range m.endpointList {
		if !e.live || e.cordon || e.down {
			continue // It may have announced a newer state to another member, or has to announce itself again.
		}
		announced := e.Endpoint
		announced.Running = slices.Clone(e.foreign)
		for _, t := range e.tasks {
			announced.Running = append(announced.Running, t.id)
		}
		announced.Taken = e.taken.Plus(e.blockedNeeds)
		announced.Factor = m.learnedFactor(e)
		all = append(all, announced)
	}
	return all
}

// blockCapacity assumes for blockedTime that tasks which this owner did not send use slots and resources
// of a leased endpoint. An announcement before then frees the slots or, if it lists running tasks,
// blocks slots and resources for those instead.
func (m *Machine) blockCapacity(now time.Time, e *endpoint, tasks int, needs model.Needs) {
	e.blockedSlots += tasks
	e.blockedNeeds = e.blockedNeeds.Plus(needs)
	m.timers.set(&e.unblockTimer, now.Add(blockedTime))
}

// handleDeparted cordons leased endpoints that belong to other pools now.
func (m *Machine) handleDeparted(ids []model.EndpointID) {
	for _, id := range ids {
		if e, known := m.endpoints[id]; known && e.Leased {
			m.cordon(e)
		}
	}
}

// ServingEndpoints returns the number of endpoints that get work.
func (m *Machine) ServingEndpoints() int { return m.totals.serving }

// handleMoved refuses the batches that have not started if no endpoint works for this owner any more.
// Their origins send them to the pool's next owner.
func (m *Machine) handleMoved(now time.Time, fx *Effects) {
	if m.totals.serving > 0 {
		return
	}
	var waiting []*batch
	for _, b := range m.batches {
		if !b.started {
			waiting = append(waiting, b)
		}
	}
	slices.SortFunc(waiting, func(a, b *batch) int { return cmp.Compare(a.place.Order, b.place.Order) })
	for _, b := range waiting {
		m.refuseAccepted(now, b, model.ReasonMoved, fx)
	}
}

// refuseAccepted ends, with a refusal, a batch that was accepted and has not started.
func (m *Machine) refuseAccepted(now time.Time, b *batch, reason model.Reason, fx *Effects) {
	d := m.newDecision(now, port.DecidedBatchRefusal, b)
	d.Reason, d.Why = reason, refusalTexts[reason]
	fx.Decisions = append(fx.Decisions, d)
	m.queue.remove(b)
	b.queued = nil
	for i := range b.tasks {
		if t := &b.tasks[i]; t.phase == held {
			m.unbind(t)
		}
		b.tasks[i].phase = ended
	}
	m.close(b)
	result := model.RefusedBatch(b.ID, reason)
	result.Load = m.Load()
	fx.Ended = append(fx.Ended, result)
}

// OpenBatches returns the number of batches that have not ended.
func (m *Machine) OpenBatches() int { return len(m.batches) }
