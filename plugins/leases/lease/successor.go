package lease

import (
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// An order names its endpoint's id, which the endpoint keeps when it starts again, and only lists of runs tell
// which incarnation has answered. So a start that was meant for one incarnation may be carried out by the next one. A run
// that the replaced incarnation has not listed is therefore settled at its successor before it is reported: the successor's
// machine takes a higher token, after which the start is never carried out, and stops the run if it is there.

// handleOtherIncarnation handles the news that another incarnation has replaced the endpoint. A run that the
// endpoint has listed has ended with it; the successor may have started any other, unless it is not known.
func (m *Machine) handleOtherIncarnation(now time.Time, successor model.EndpointID, fx *Effects) {
	m.replaced, m.successor = true, successor
	fx.Lost = LossOtherIncarnation
	for _, id := range m.sortedRuns() {
		r := m.runs[id]
		r.lossCause = m.causeOfReplacement(now, r.listed || !r.confirmedAt.IsZero(), m.leaseExtendedAt)
		switch {
		case r.phase == queued:
			m.finish(now, id, port.TaskNotRun, detailReplaced, fx)
		case r.listed || successor == "":
			m.finishLost(now, id, r.lossCause, detailReplaced, fx)
		default:
			m.settleAtSuccessor(id, r, fx)
		}
	}
	m.loseForeignRuns(func(f *foreignRun) port.LossCause { return m.causeOfReplacement(now, true, f.listedAt) }, fx)
	fx.Successor = successor
	if m.fenceHoldNeeded(now) {
		m.fenceAtSuccessor(fx)
	}
}

// handleReplaced handles a Replaced event. An announcement proves less than a reply to a hold, so all runs are settled
// at the successor.
func (m *Machine) handleReplaced(now time.Time, successor model.EndpointID, fx *Effects) {
	if m.replaced {
		return
	}
	for _, r := range m.runs {
		r.listed = false
	}
	m.handleOtherIncarnation(now, successor, fx)
}

// settleAtSuccessor requests the outcome of a run from the machine of the incarnation that has replaced this one.
func (m *Machine) settleAtSuccessor(id port.TaskRun, r *run, fx *Effects) {
	r.phase, r.stopDueAt, r.payload = atSuccessor, time.Time{}, nil
	fx.Successor = m.successor
	fx.Settle = append(fx.Settle, SettleRequested{id, max(r.startToken, m.token), r.stopRequestedAt})
}

// handleSettled finishes a run with its outcome at the successor. Without a result there, the run may have been
// lost with this incarnation.
func (m *Machine) handleSettled(now time.Time, outcome Finished, fx *Effects) {
	r, known := m.runs[outcome.Run]
	if !known || r.phase != atSuccessor {
		return
	}
	detail := "settled at the endpoint's next incarnation: " + outcome.Detail
	switch outcome.State {
	case port.TaskDone, port.TaskFailed:
		m.finish(now, outcome.Run, outcome.State, detail, fx)
	case port.TaskNotRun:
		m.finishLost(now, outcome.Run, r.lossCause, detail, fx)
	default:
		m.finishLost(now, outcome.Run, outcome.Cause, detail, fx)
	}
}

// handleSettleRequest takes over a run that an earlier incarnation was asked to start.
func (m *Machine) handleSettleRequest(now time.Time, e SettleRequested, fx *Effects) {
	if i := slices.IndexFunc(m.unclaimedEnds, func(end port.RunEnd) bool { return end.Run == e.Run }); i >= 0 {
		fx.Finished = append(fx.Finished, Finished{Run: e.Run, State: m.unclaimedEnds[i].How, Detail: "ended before it was settled"})
		return
	}
	if m.runs[e.Run] != nil {
		return
	}
	r := &run{
		phase: inherited, startToken: e.Token, startArrivesBy: now.Add(MaxOrderDelay),
		stopRequested: !e.StopRequestedAt.IsZero(), stopRequestedAt: e.StopRequestedAt,
	}
	switch {
	case m.replaced && m.successor == "":
		fx.Finished = append(fx.Finished, Finished{Run: e.Run, State: port.TaskLost, Detail: detailReplaced, Cause: port.LossNotBegun})
		return
	case m.replaced:
		m.settleAtSuccessor(e.Run, r, fx)
	case now.Before(m.fencedUntil):
		r.phase, r.claimedAt = handedOver, now // The holder of the lease finds the run, if it is there, and forwards its end.
	default:
		m.outbid(now, e.Token)
	}
	m.runs[e.Run] = r
}

// outbid makes sure that the fencing token is above that of an earlier incarnation's holder, so that no order under
// that token is carried out any more once the endpoint has accepted the new one.
func (m *Machine) outbid(now time.Time, token uint64) {
	m.renewToken(now)
	if m.token <= token {
		m.token = token + 1<<holderBits
		m.tokenAccepted = false
	}
}
