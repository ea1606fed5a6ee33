package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// handleFenced gives up the lease to the member that has taken it over. Runs that may be running are
// handed over, also those that are to be stopped: the new holder forwards their ends. Its token is the given one or a higher one.
func (m *Machine) handleFenced(now time.Time, token uint64, fx *Effects) {
	fx.Lost = LossFenced
	m.fencedBy = token
	m.fencedUntil = now.Add(m.config.FencedBackoff)
	m.tokenAccepted, m.fenced = false, true
	m.fence = fence{}          // The holder of the higher token is the one to refuse late orders now.
	m.lastEndAcked = m.lastEnd // The new holder acknowledges the ends.
	m.lateExtensions.refuse(now, token)
	clear(m.foreignRuns)
	for _, id := range m.sortedRuns() {
		r := m.runs[id]
		switch {
		case r.phase == startSent: // The reply to its start is still to come.
		case r.phase == atSuccessor: // The next incarnation's machine settles it.
		case r.phase == queued:
			m.finish(now, id, port.TaskLeasedElsewhere, detailLeasedElsewhere, fx)
		default:
			r.phase, r.stopDueAt = handedOver, time.Time{}
			r.startArrivesBy = latest(r.startArrivesBy, now) // Another order of this holder may have extended the lease until now.
		}
	}
}

// handleTakeover handles a TakenOver event, which says the same as the endpoint's refusal of this holder's token, should
// that not arrive. The other holder extends the lease of all runs while this one claims its runs, so that the end of this
// holder's own lease no longer ends them.
func (m *Machine) handleTakeover(now time.Time, e TakenOver, fx *Effects) {
	if e.Token <= m.acceptedToken || m.replaced {
		return
	}
	m.leaseSeenAt = now
	m.recordHolderExtensions(now, e)
	for _, id := range e.Running {
		r, known := m.runs[id]
		if !known {
			continue
		}
		if !r.listed {
			r.listed, m.leaseExtendedAt = true, now // The start may have been carried out just before the holder's list.
		}
		if r.phase == startSent {
			m.confirmStart(now, r)
		}
		if m.Wanted(id) {
			r.claimedAt = now
		}
	}
	if !now.Before(m.fencedUntil) {
		m.handleFenced(now, e.Token, fx)
	}
}

// endedBy returns the time by which a run has certainly ended, although no list and no reported end says so; bounded is false
// while its lease may be extended. A run that was handed over ends with its lease unless this member claims it again. A start
// or hold that arrives late may extend the lease of all runs by the full length, which the endpoint may count from the arrival.
// A run that the endpoint has not listed may have been started by the next incarnation. That one has another clock, so the end
// of the lease in an order does not bind it, nor does it know the tokens that this one has accepted.
func (m *Machine) endedBy(r *run) (at time.Time, bounded bool) {
	if !m.mayEndUnreported(r) {
		return time.Time{}, false
	}
	extended := m.lateExtension(latest(m.leaseExtendedAt, r.claimedAt.Add(claimValidity)))
	if !r.listed {
		extended = latest(extended, latest(r.startArrivesBy, m.ordersArriveBy))
	}
	return m.expiredBy(extended), true
}

// mayEndUnreported reports whether a run may end without this member learning it from the endpoint: the member does not hold the
// lease under which it runs, or the endpoint does not answer any more.
func (m *Machine) mayEndUnreported(r *run) bool {
	switch r.phase {
	case handedOver, inherited:
		return true
	default:
		return r.underLease() && m.failedHolds >= maxFailedHolds
	}
}

// finishEndedRuns finishes the runs that have certainly ended and whose ends nobody has reported.
func (m *Machine) finishEndedRuns(now time.Time, fx *Effects) {
	for _, id := range m.sortedRuns() {
		r := m.runs[id]
		at, bounded := m.endedBy(r)
		switch {
		case !bounded || now.Before(at):
		case r.underLease():
			fx.Lost = LossExpired
			m.finishLost(now, id, m.causeOfExpiry(), "the lease has expired", fx)
		default:
			m.finishLost(now, id, port.LossSilent, "no member can have extended the lease for the run", fx)
		}
	}
}

// heldAgain reports whether the newest hold was sent under a token that this holder has taken since it was fenced.
func (m *Machine) heldAgain() bool { return !m.fenced && m.holdToken == m.token }

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
