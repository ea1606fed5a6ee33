package poolstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// evacuationGrace is the time after which no task starts any more in a pool that has learned of its data centre's evacuation. Until
// then only batches that have started in part start their remaining tasks, so that a job with runs in several data centres can
// complete.
const evacuationGrace = 2 * time.Second

// Evacuated reports that the evacuation of the pool's data centre has begun or, without Active, that it has ended.
type Evacuated struct{ Active bool }

func (Evacuated) event() {}

// evacuation says whether the pool's data centre is evacuated. Announcements are handled as usual during an evacuation, so that the
// endpoints get work at once when it ends.
type evacuation struct {
	active      bool
	startsEnd   time.Time // When the pool stops starting tasks.
	startsTimer timer     // Fires at startsEnd; each step from then on ends the batches that still have tasks to start.
}

func newEvacuation() evacuation {
	return evacuation{startsTimer: newTimer(func(time.Time, *Effects) {})}
}

// Evacuated reports whether the pool's data centre is evacuated, as far as the pool has learned.
func (m *Machine) Evacuated() bool { return m.evacuation.active }

// StartsEnded reports whether no task may start any more because the data centre is evacuated.
func (m *Machine) StartsEnded(now time.Time) bool {
	return m.evacuation.active && !now.Before(m.evacuation.startsEnd)
}

// handleEvacuated begins or ends an evacuation. Batches none of whose tasks was sent to an endpoint are refused at once, so that
// their origins send them to another data centre.
func (m *Machine) handleEvacuated(now time.Time, e Evacuated, fx *Effects) {
	if e.Active == m.evacuation.active {
		return
	}
	m.evacuation.active = e.Active
	if !e.Active {
		m.timers.stop(&m.evacuation.startsTimer)
		return
	}
	// A start that the pool has decided on may wait for a lease before it is sent.
	m.evacuation.startsEnd = now.Add(evacuationGrace - port.MaxStartWait)
	m.timers.set(&m.evacuation.startsTimer, m.evacuation.startsEnd)
	for _, b := range m.batchesInOrder() {
		if !slices.ContainsFunc(b.tasks, func(t task) bool { return t.attempt > 0 }) {
			m.refuseAccepted(now, b, model.ReasonEvacuated, fx)
			fx.Ended[len(fx.Ended)-1].RetryAfter = model.EvacuatedRetryAfter
		}
	}
}

// batchesInOrder returns the batches that have not ended in the order of their acceptance.
func (m *Machine) batchesInOrder() []*batch {
	return slices.SortedFunc(maps.Values(m.batches), func(a, b *batch) int { return cmp.Compare(a.place.Order, b.place.Order) })
}

// endWaiting ends the batches that have tasks to start when none may start any more. These were queued, held for an endpoint or
// waited for one of their own, or have come back after a run without a result. Batches whose tasks all run go on.
func (m *Machine) endWaiting(now time.Time, fx *Effects) {
	if !m.StartsEnded(now) || m.queue.count+m.totals.held == 0 && !slices.ContainsFunc(m.isolation.waiting, (*task).waits) {
		return
	}
	for _, b := range m.batchesInOrder() {
		if slices.ContainsFunc(b.tasks, func(t task) bool { return t.waits() }) {
			m.cancel(now, b, model.ReasonEvacuated, fx)
		}
	}
}

// hideSlots removes from a load what an evacuated pool does not offer.
func (m *Machine) hideSlots(load model.PoolLoad) model.PoolLoad {
	if m.evacuation.active {
		load.Slots, load.Free, load.FreeFast = 0, 0, 0
	}
	return load
}

// evacuatedVerdict returns the verdict on a batch that arrives during an evacuation.
func evacuatedVerdict() port.Verdict {
	return port.Verdict{Reason: model.ReasonEvacuated, RetryAfter: model.EvacuatedRetryAfter}
}
