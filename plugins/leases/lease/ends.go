package lease

import (
	"slices"

	"redwingpulley/kernel/port"
)

const (
	// maxUnclaimedEnds bounds the ends that are kept for runs which are settled later.
	maxUnclaimedEnds = 256
	// maxPresumedLost bounds the runs whose ends are not forwarded when the endpoint reports them late.
	maxPresumedLost = 256
)

// handleEndNotAwaited handles the end of a run for which this member does not wait. It is forwarded to the member that does, unless this
// one has started the run and reported it before, as it does when the lease has expired behind a partition: then nobody waits for it.
func (m *Machine) handleEndNotAwaited(end port.RunEnd, fx *Effects) {
	m.keepUnclaimedEnd(end)
	claimant := m.claimantOf(end.Run)
	delete(m.foreignRuns, end.Run)
	if m.forgetPresumedLost(end.Run) && claimant == "" {
		return
	}
	fx.ForwardEnds = append(fx.ForwardEnds, ForwardedEnd{end, claimant})
}

// keepUnclaimedEnd keeps the end of a run that nobody here waits for yet: the run may be settled later.
func (m *Machine) keepUnclaimedEnd(end port.RunEnd) {
	m.unclaimedEnds = appendBounded(m.unclaimedEnds, end, maxUnclaimedEnds)
}

// rememberPresumedLost records that a run of this member is reported as lost, although the endpoint has not reported its end.
func (m *Machine) rememberPresumedLost(id port.TaskRun) {
	m.presumedLost = appendBounded(m.presumedLost, id, maxPresumedLost)
}

// forgetPresumedLost removes a run from those that were reported as lost without an end, and reports whether it was one of them.
func (m *Machine) forgetPresumedLost(id port.TaskRun) (found bool) {
	at := slices.Index(m.presumedLost, id)
	if at >= 0 {
		m.presumedLost = slices.Delete(m.presumedLost, at, at+1)
	}
	return at >= 0
}

// appendBounded appends to a list, from which it removes the oldest element when there are as many as the bound allows.
func appendBounded[E any](list []E, e E, bound int) []E {
	if len(list) >= bound {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, e)
}
