package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// leaseEnd returns the end of a lease that is granted now, in milliseconds of the endpoint's clock.
func (m *Machine) leaseEnd(now time.Time) int64 {
	return m.endpointClock + now.Sub(m.clockReadAt).Milliseconds() + m.config.MaxLease.Milliseconds()
}

// recordClock stores a reading of the endpoint's clock; 0 means that the reply contained none.
func (m *Machine) recordClock(now time.Time, endpointClock int64) {
	if endpointClock > 0 {
		m.endpointClock, m.clockReadAt = endpointClock, now
	}
}

func (m *Machine) handleHoldReply(now time.Time, reply port.HoldReply, fx *Effects) {
	m.holdInFlight = false
	m.recordHoldContact(now, reply.State)
	m.recordRetireReply(reply.State)
	m.recordContact(now, reply.State, reply.Refused, fx)
	switch reply.State {
	case port.OrderDone:
		m.applyHoldReply(now, reply, fx)
	case port.OrderFenced:
		m.handleFenced(now, m.holdToken+1, fx)
	case port.OrderOtherIncarnation:
		m.handleOtherIncarnation(now, reply.Incarnation, fx)
	default:
		m.failedHolds++
		if reply.State == port.OrderUnknown && m.holdExtends {
			m.recordUnanswered(now, m.holdToken, m.holdSentAt)
		}
		m.holdRetryAt = now.Add(retryDelay)
		m.rejectQueuedStarts(now, reply.Detail, fx)
	}
}

// applyHoldReply applies a successful reply to a hold.
func (m *Machine) applyHoldReply(now time.Time, reply port.HoldReply, fx *Effects) {
	m.recordClock(now, reply.Clock)
	m.failedHolds, m.holdRetryAt = 0, time.Time{}
	m.acceptedToken = max(m.acceptedToken, m.holdToken)
	m.lastEndAcked = max(m.lastEndAcked, m.lastEndSent)
	for _, end := range reply.Ended {
		if end.Number <= m.lastEnd {
			continue
		}
		m.lastEnd = end.Number
		if !m.Pending(end.Run) {
			m.handleEndNotAwaited(end, fx)
			continue
		}
		m.handleRunEnd(now, end, fx)
	}
	m.reconcile(now, reply.Running, fx)
	m.recordFence()
	if !m.tokenAccepted && m.holdToken == m.token {
		m.tokenAccepted, fx.Acquired = true, true
		m.lateExtensions.refuse(now, m.token)
		m.refuseHolderExtensions(now)
	}
	if m.tokenAccepted {
		m.sendQueuedStarts(now, fx)
	}
}

func (m *Machine) holdDue(now time.Time) bool {
	at, needed := m.nextHoldAt(now)
	return needed && !now.Before(at)
}

// nextHoldAt returns when the next hold is due; needed is false when none is.
func (m *Machine) nextHoldAt(now time.Time) (at time.Time, needed bool) {
	switch {
	case m.replaced || m.awaitsRetiringToken() || m.claimQueryInFlight:
		return time.Time{}, false
	case m.retireHoldNeeded(now):
		return m.retireHoldAt(), true
	case now.Before(m.fencedUntil) && m.token != 0:
		return time.Time{}, false
	case m.needsLease():
		return m.holdRetryAt, true
	case m.fenceHoldNeeded(now):
		return m.fenceHoldAt(), true
	case m.lastEndAcked < m.lastEnd:
		at = m.lastFinishedAt.Add(ackDelay)
		if m.holdRetryAt.After(at) {
			at = m.holdRetryAt
		}
		return at, m.failedHolds < maxFailedHolds
	}
	return time.Time{}, false
}

// sendHold sends the next hold. It extends the lease if this member holds it, needs it and may extend it.
func (m *Machine) sendHold(now time.Time, fx *Effects) {
	m.holdInFlight, m.holdSentAt, m.holdToken, m.lastEndSent = true, now, m.token, m.lastEnd
	if m.failedHolds > 0 { // The next incarnation may answer, whose ends have the same numbers.
		m.lastEndSent = 0
	}
	m.holdExtends = false
	order := port.HoldOrder{Seen: m.lastEndSent, Token: m.token}
	if m.holdsLease() && m.needsLease() {
		if m.failedHolds == 0 && !m.retireHoldNeeded(now) {
			order.Wait = m.holdWait()
		}
		if m.failedHolds < maxFailedHolds && m.mayExtend(now) {
			order.Until = m.leaseEnd(now)
			m.leaseExtendedAt, m.holdExtends = now, true
		}
	}
	m.recordHoldGap(now, order.Wait)
	fx.Hold = &order
}

// holdsLease reports whether a hold under the token can extend the lease: the endpoint has accepted the token, or the token
// is the retiring one, which it accepts with that hold, and the endpoint's clock is known.
func (m *Machine) holdsLease() bool {
	return m.tokenAccepted || m.hasRetiringToken() && !m.clockReadAt.IsZero()
}

// holdWait returns the time for which the endpoint may delay its reply to a hold.
func (m *Machine) holdWait() time.Duration {
	fraction := holdWaitFraction
	if len(m.foreignRuns) > 0 {
		fraction = claimWaitFraction
	}
	return time.Duration(fraction * float64(m.config.MaxLease))
}

// leaseExpiredBy returns the time by which this holder's lease has certainly expired.
func (m *Machine) leaseExpiredBy() time.Time { return m.expiredBy(m.leaseExtendedAt) }

// expiredBy returns the time by which a lease that was extended last at the given time has certainly expired, even when
// the endpoint's clock is slow.
func (m *Machine) expiredBy(extended time.Time) time.Time {
	lease := float64(m.config.MaxLease) * (1 + maxClockDrift)
	return extended.Add(time.Duration(lease) + expiryMargin)
}

// needsLease reports whether holds are due: for runs of this member, or for runs of others. The members that wait for those
// have been fenced, so that only this one can extend the lease and learn how the runs end.
func (m *Machine) needsLease() bool { return m.hasActiveRuns() || len(m.foreignRuns) > 0 }

// forgetExpiredRuns forgets the runs of others once the lease has expired.
func (m *Machine) forgetExpiredRuns(now time.Time, fx *Effects) {
	if m.failedHolds >= maxFailedHolds && !now.Before(m.leaseExpiredBy()) {
		m.loseForeignRuns(func(*foreignRun) port.LossCause { return m.causeOfExpiry() }, fx)
	}
}

// hasActiveRuns reports whether a run is waiting to start or may be running at the endpoint under this
// holder's lease.
func (m *Machine) hasActiveRuns() bool {
	for _, r := range m.runs {
		if r.phase != handedOver {
			return true
		}
	}
	return false
}
