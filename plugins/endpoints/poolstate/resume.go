package poolstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
)

// handleResumed handles a Resumed event. While the process stood still, callers may have sent the jobs of its batches to other
// members, and the orders to cancel them may have been lost. So no task starts any more that belongs to a batch from before. Runs in
// progress continue: what they have done is reported. A batch that has not started is refused, so that an origin that still
// waits sends it elsewhere.
func (m *Machine) handleResumed(now time.Time, fx *Effects) {
	open := slices.SortedFunc(maps.Values(m.batches), func(a, b *batch) int { return cmp.Compare(a.place.Order, b.place.Order) })
	for _, b := range open {
		b.outlived = true
		switch {
		case !b.started:
			m.refuseAccepted(now, b, model.ReasonPaused, fx)
		case slices.ContainsFunc(b.tasks, func(t task) bool { return t.waits() }):
			m.cancel(now, b, model.ReasonPaused, fx)
		}
	}
}

// waits reports whether the task has not been sent to an endpoint and may still be.
func (t *task) waits() bool {
	return t.phase == inQueue || t.phase == waitingIsolated || t.phase == held
}
