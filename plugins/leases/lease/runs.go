package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

func (m *Machine) handleStartRequest(now time.Time, e StartRequested, fx *Effects) {
	switch {
	case m.replaced:
		fx.Finished = append(fx.Finished, Finished{Run: e.Run, State: port.TaskNotRun, Detail: detailReplaced})
		return
	case now.Before(m.fencedUntil):
		fx.Finished = append(fx.Finished, Finished{Run: e.Run, State: port.TaskLeasedElsewhere, Detail: detailLeasedElsewhere})
		return
	case m.runs[e.Run] != nil:
		return
	case m.retirement.phase != retireNotRequested:
		fx.Finished = append(fx.Finished, Finished{Run: e.Run, State: port.TaskLeasedElsewhere, Detail: detailRetired})
		return
	}
	m.renewToken(now)
	r := &run{payload: e.Payload, requestedAt: now}
	m.runs[e.Run] = r
	if m.tokenAccepted && m.failedHolds == 0 && m.mayExtend(now) {
		m.sendStart(now, e.Run, r, fx)
	}
}

// renewToken creates a new fencing token when there is none, when another holder has a higher one, or when the current one
// has been idle for so long that another member may have held the lease meanwhile.
func (m *Machine) renewToken(now time.Time) {
	if m.token != 0 && !m.fenced && (len(m.runs) > 0 || m.holdInFlight || now.Sub(m.lastFinishedAt) < tokenIdleTimeout) {
		return
	}
	m.replaceToken(now)
}

// replaceToken replaces the token by that of a time, or by a later one where that is not higher.
func (m *Machine) replaceToken(at time.Time) {
	m.token = max(m.newToken(at), m.token+1<<holderBits)
	m.tokenAccepted, m.fenced = false, false
}

// newToken returns this holder's fencing token of a time.
func (m *Machine) newToken(at time.Time) uint64 {
	return uint64(at.UnixMilli())<<holderBits | m.config.HolderID&(1<<holderBits-1)
}

func (m *Machine) sendStart(now time.Time, id port.TaskRun, r *run, fx *Effects) {
	r.phase, r.startToken, r.startArrivesBy = startSent, m.token, now.Add(MaxOrderDelay)
	m.leaseExtendedAt = now
	fx.Starts = append(fx.Starts, port.StartOrder{Run: id, Payload: r.payload, Until: m.leaseEnd(now), Token: m.token})
	r.payload = nil
}

// sendQueuedStarts sends the starts that waited for the endpoint to answer a hold, unless the lease must not be extended.
func (m *Machine) sendQueuedStarts(now time.Time, fx *Effects) {
	if !m.mayExtend(now) {
		return
	}
	for _, id := range m.sortedRuns() {
		switch r := m.runs[id]; {
		case r.phase != queued:
		case elapsed(now, r.requestedAt) > port.MaxStartWait:
			m.finish(now, id, port.TaskNoRoom, "the start has waited too long", fx)
		default:
			m.sendStart(now, id, r, fx)
		}
	}
}

// elapsed returns how long ago a time was by the clock that shows more: the monotonic one stands still in a suspended VM.
func elapsed(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// rejectQueuedStarts finishes the runs that waited for the endpoint to answer a hold, after one has failed.
func (m *Machine) rejectQueuedStarts(now time.Time, detail string, fx *Effects) {
	for _, id := range m.sortedRuns() {
		if m.runs[id].phase == queued {
			m.finish(now, id, port.TaskNotRun, "the endpoint does not answer: "+detail, fx)
		}
	}
}

func (m *Machine) handleStartReply(now time.Time, e StartReplied, fx *Effects) {
	m.recordClock(now, e.Reply.Clock)
	m.recordContact(now, e.Reply.State, e.Reply.Refused, fx)
	r, known := m.runs[e.Run]
	if !known || r.phase != startSent {
		return
	}
	switch e.Reply.State {
	case port.OrderDone:
		m.confirmStart(now, r)
	case port.OrderUnknown:
		r.phase, r.timeUnknown = startUnanswered, true
		m.recordUnanswered(now, r.startToken, r.startArrivesBy.Add(-MaxOrderDelay))
		r.stopDueAt = now // The endpoint never starts a run after its stop, even when the start arrives later.
	case port.OrderFenced:
		m.finish(now, e.Run, port.TaskLeasedElsewhere, detailLeasedElsewhere, fx)
		m.handleFenced(now, r.startToken+1, fx)
	case port.OrderOtherIncarnation:
		if e.Reply.Incarnation == "" { // An endpoint with another id, which refuses the order.
			m.finish(now, e.Run, port.TaskNotRun, "another endpoint has replaced this one", fx)
		}
		m.handleOtherIncarnation(now, e.Reply.Incarnation, fx)
	case port.OrderNoRoom:
		m.finish(now, e.Run, port.TaskNoRoom, e.Reply.Detail, fx)
	default:
		m.finish(now, e.Run, port.TaskNotRun, string(e.Reply.State)+": "+e.Reply.Detail, fx)
	}
}

// confirmStart records that the endpoint has started a run.
func (m *Machine) confirmStart(now time.Time, r *run) {
	r.phase = confirmed
	r.confirmedAt, r.startArrivesBy = now, now
	r.timeUnknown = r.timeUnknown || elapsed(now, r.requestedAt) > port.MaxTimingError
	if now.Before(m.fencedUntil) {
		r.phase = handedOver
		return
	}
	if r.stopRequested {
		r.stopDueAt = now
	}
}

// handleStopRequest handles a StopRequested event.
func (m *Machine) handleStopRequest(now time.Time, id port.TaskRun, fx *Effects) {
	r, known := m.runs[id]
	if !known {
		return
	}
	if !r.stopRequested {
		r.stopRequested, r.stopRequestedAt = true, now
	}
	switch r.phase {
	case queued:
		m.finish(now, id, port.TaskNotRun, "the start was never sent", fx)
	case handedOver: // The holder of the lease stops the run when it queries claims again, and forwards its end.
	case atSuccessor:
		fx.Successor, fx.SettleStops = m.successor, append(fx.SettleStops, id)
	case startSent, confirmed, startUnanswered:
		if !r.stopInFlight && r.stopAckedAt.IsZero() {
			r.stopDueAt = now // A stop that arrives before the start keeps the run from starting.
		}
	}
}

func (m *Machine) handleStopReply(now time.Time, e StopReplied, fx *Effects) {
	m.recordClock(now, e.Reply.Clock)
	m.recordContact(now, e.Reply.State, e.Reply.Refused, fx)
	r, known := m.runs[e.Run]
	if !known || r.phase == atSuccessor {
		return
	}
	r.stopInFlight = false
	switch e.Reply.State {
	case port.OrderDone:
		r.stopAckedAt = now
	case port.OrderFenced:
		m.handleFenced(now, m.acceptedToken+1, fx)
	case port.OrderOtherIncarnation:
		m.handleOtherIncarnation(now, e.Reply.Incarnation, fx)
	default:
		r.timeUnknown = true
		if r.phase != handedOver {
			r.stopDueAt = now.Add(retryDelay)
		}
	}
}

// finish removes a run and reports its outcome.
func (m *Machine) finish(now time.Time, id port.TaskRun, state port.TaskState, detail string, fx *Effects) {
	m.report(now, Finished{Run: id, State: state, Detail: detail}, fx)
}

// finishLost removes a run and reports it as lost for the given cause.
func (m *Machine) finishLost(now time.Time, id port.TaskRun, cause port.LossCause, detail string, fx *Effects) {
	m.report(now, Finished{Run: id, State: port.TaskLost, Detail: detail, Cause: cause}, fx)
}

func (m *Machine) report(now time.Time, outcome Finished, fx *Effects) {
	if r, known := m.runs[outcome.Run]; known && outcome.State == port.TaskLost && !r.endReported {
		m.rememberPresumedLost(outcome.Run)
	}
	outcome.TimeUnknown = m.timeUnknown(now, outcome.Run)
	delete(m.runs, outcome.Run)
	m.lastFinishedAt = now
	fx.Finished = append(fx.Finished, outcome)
}
