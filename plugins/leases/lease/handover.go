package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// handleFenced gives up the lease to the member that has taken it over. Runs that may be running are
// handed over, also those that are to be stopped: the new holder forwards their ends.
func (m *Machine) handleFenced(now time.Time, fx *Effects) {
	fx.Lost = LossFenced
	m.fencedUntil = now.Add(m.config.FencedBackoff)
	m.tokenAccepted, m.fenced = false, true
	m.lastEndAcked = m.lastEnd // The new holder acknowledges the ends.
	clear(m.foreignRuns)
	m.claimQueryInFlight = false
	for _, id := range m.sortedRuns() {
		r := m.runs[id]
		switch {
		case r.phase == startSent: // The reply to its start is still to come.
		case r.phase == queued:
			m.finish(now, id, port.TaskLeasedElsewhere, detailLeasedElsewhere, fx)
		default:
			r.phase, r.stopDueAt = handedOver, time.Time{}
		}
	}
}

// handleTakeover handles a TakenOver event, which says the same as the endpoint's refusal of this holder's token, should
// that not arrive. The other holder extends the lease of all runs while this one claims its runs, so that the end of this
// holder's own lease no longer ends them.
func (m *Machine) handleTakeover(now time.Time, e TakenOver, fx *Effects) {
	if e.Token <= m.token || m.replaced {
		return
	}
	for _, id := range e.Running {
		r, known := m.runs[id]
		if known && r.phase == startSent {
			m.confirmStart(now, r)
		}
		if m.Wanted(id) {
			r.claimedAt = now
		}
	}
	if !now.Before(m.fencedUntil) {
		m.handleFenced(now, fx)
	}
}

// goneBy returns the time by which a run that this holder cannot observe has certainly ended; bounded is false for other
// runs. A run that was handed over ends with its lease unless this member claims it again. One that was inherited may
// still start, and extend the lease, while its start order may arrive.
func (m *Machine) goneBy(r *run) (at time.Time, bounded bool) {
	switch r.phase {
	case handedOver:
		extended := r.claimedAt.Add(claimValidity)
		if m.leaseExtendedAt.After(extended) {
			extended = m.leaseExtendedAt
		}
		return m.expiredBy(extended), true
	case inherited:
		return r.lostAt, true
	default:
		return time.Time{}, false
	}
}

// finishGoneRuns finishes the runs that have certainly ended and whose ends nobody has reported.
func (m *Machine) finishGoneRuns(now time.Time, fx *Effects) {
	for _, id := range m.sortedRuns() {
		if at, bounded := m.goneBy(m.runs[id]); bounded && !now.Before(at) {
			m.finish(now, id, port.TaskLost, "no member can have extended the lease for the run", fx)
		}
	}
}

// heldAgain reports whether the newest hold was sent under a token that this holder has taken since it was fenced.
func (m *Machine) heldAgain() bool { return !m.fenced && m.holdToken == m.token }
