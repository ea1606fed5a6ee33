package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// reconcile compares this holder's runs with those that the endpoint lists as running. It confirms
// starts whose reply is missing, and finds runs that the endpoint has lost and runs that other holders
// started.
func (m *Machine) reconcile(now time.Time, running []port.TaskRun, fx *Effects) {
	if len(running) > 0 {
		m.leaseSeenAt = now
	}
	listed := make(map[port.TaskRun]bool, len(running))
	for _, id := range running {
		listed[id] = true
		r, known := m.runs[id]
		if known {
			r.listed = true
		}
		switch {
		case known && (r.phase == startSent || r.phase == handedOver && m.heldAgain()):
			m.confirmStart(now, r)
		case known && r.phase == inherited:
			r.phase, r.confirmedAt, r.stopDueAt = confirmed, now, now
			m.leaseExtendedAt = now // The start may have been carried out just before the list.
		}
	}
	m.recordForeignRuns(now, running, listed, fx)
	for _, id := range m.sortedRuns() {
		if r := m.runs[id]; !listed[id] {
			m.handleMissing(now, id, r, fx)
		}
	}
}

// handleMissing finishes a run that the endpoint lists neither as running nor among the ends. It does
// so only when the hold was sent late enough for the list to be conclusive: after the confirmation of
// the start, or at least StopTimeout after the acknowledgement of a stop; for a start order that was sent to an earlier
// incarnation, with a token above that of the order.
func (m *Machine) handleMissing(now time.Time, id port.TaskRun, r *run, fx *Effects) {
	stopped := !r.stopAckedAt.IsZero() && m.holdSentAt.After(r.stopAckedAt.Add(m.config.StopTimeout))
	switch {
	case r.phase == inherited && m.holdToken == m.token:
		m.finish(now, id, port.TaskNotRun, "not started by this incarnation", fx)
	case r.phase == startUnanswered && stopped:
		m.finish(now, id, port.TaskNotRun, "stopped before it started", fx)
	case r.phase == confirmed && stopped:
		m.finish(now, id, port.TaskStopped, "stopped", fx)
	case r.phase == handedOver && m.heldAgain():
		m.finishLost(now, id, port.LossDropped, "the endpoint no longer lists the run", fx)
	case r.phase == confirmed && m.holdSentAt.After(r.confirmedAt):
		m.finishLost(now, id, port.LossDropped, "the endpoint no longer lists the run", fx)
	}
}

// handleRunEnd finishes a run with the end that the endpoint reported for it.
func (m *Machine) handleRunEnd(now time.Time, end port.RunEnd, fx *Effects) {
	r, known := m.runs[end.Run]
	if !known {
		return
	}
	r.endReported = true
	state := end.How
	if state == port.TaskStopped && !r.stopRequested {
		state = port.TaskLost // Stopped because its start was unanswered, to settle it, or by another holder.
	}
	detail := "ended " + string(end.How)
	if state == port.TaskLost {
		m.finishLost(now, end.Run, port.LossDropped, detail, fx)
		return
	}
	m.finish(now, end.Run, state, detail, fx)
}
