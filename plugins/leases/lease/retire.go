package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

const (
	// retireAhead is the time by which the retiring token is ahead of the clock. It exceeds the sum of the 15 s for which
	// a member uses an endpoint after it last heard of it and the difference between the clocks of members. An endpoint
	// that starts again under its id and sees the token refuses the other members for as long.
	retireAhead = 30 * time.Second
	// retirePatience is how long holds are sent to retire an endpoint after the newest request.
	retirePatience = time.Second
	// retireRetryDelay is the delay before such a hold is sent again after one that failed.
	retireRetryDelay = 100 * time.Millisecond

	detailRetired = "the endpoint leaves"
)

// retirement is the progress of retiring an endpoint, after which no member can start a run there: a hold has shown the
// endpoint the retiring token, which is higher than all tokens under which members start runs.
type retirement struct {
	phase retirePhase
	until time.Time // When the holds for the newest request end.
}

// retirePhase is the progress of a retirement. The phases follow one another in this order.
type retirePhase int

const (
	retireNotRequested retirePhase = iota
	// retireVerifying: a hold under an ordinary token is to show that this incarnation answers. A request that is based on
	// a late message of an earlier incarnation with the same id must not retire the later one.
	retireVerifying
	retireVerified // This incarnation answers, or has fenced this member; the token is still an ordinary one.
	retiring       // The token is the retiring one.
	retired        // The endpoint has accepted the retiring token, or a higher one of another member.
)

// Retired reports whether no member can start a run at this incarnation of the endpoint any more.
func (m *Machine) Retired() bool { return m.replaced || m.retirement.phase == retired }

// handleRetireRequest handles a RetireRequested event. Runs whose starts were not sent yet do not start.
func (m *Machine) handleRetireRequest(now time.Time, fx *Effects) {
	if m.Retired() {
		return
	}
	m.retirement.until = now.Add(retirePatience)
	if m.retirement.phase != retireNotRequested {
		return
	}
	m.retirement.phase = retireVerifying
	if now.Before(m.fencedUntil) {
		m.retirement.phase = retireVerified
	}
	m.renewToken(now)
	for _, id := range m.sortedRuns() {
		if m.runs[id].phase == queued {
			m.finish(now, id, port.TaskLeasedElsewhere, detailRetired, fx)
		}
	}
}

// awaitsRetiringToken reports whether the next hold is to carry the retiring token, which is not taken yet.
func (m *Machine) awaitsRetiringToken() bool { return m.retirement.phase == retireVerified }

// takeRetiringToken replaces the token by the retiring one, once no order is in flight that the endpoint would then refuse.
func (m *Machine) takeRetiringToken(now time.Time) {
	if !m.awaitsRetiringToken() || m.replaced || m.orderInFlight() {
		return
	}
	m.replaceToken(now.Add(retireAhead))
	m.retirement.phase = retiring
}

// orderInFlight reports whether an order is in flight that the endpoint would refuse once it has accepted a higher token.
func (m *Machine) orderInFlight() bool {
	for _, r := range m.runs {
		if r.phase == startSent || r.stopInFlight {
			return true
		}
	}
	return m.holdInFlight
}

// hasRetiringToken reports whether the retiring token has been taken.
func (m *Machine) hasRetiringToken() bool { return m.retirement.phase >= retiring }

// retireHoldNeeded reports whether a hold is to be sent because the endpoint is being retired.
func (m *Machine) retireHoldNeeded(now time.Time) bool {
	return m.retirement.phase != retireNotRequested && !m.Retired() && now.Before(m.retirement.until)
}

// retireHoldAt returns when that hold is due.
func (m *Machine) retireHoldAt() (at time.Time) {
	if m.failedHolds > 0 {
		at = m.holdSentAt.Add(retireRetryDelay)
	}
	return at
}

// recordRetireReply records the state of a reply to a hold while the endpoint is being retired. The only token above the
// retiring one is that of another member that retires the endpoint, too.
func (m *Machine) recordRetireReply(state port.OrderState) {
	if state != port.OrderDone && state != port.OrderFenced {
		return
	}
	switch m.retirement.phase {
	case retireVerifying:
		m.retirement.phase = retireVerified
	case retiring:
		m.retirement.phase = retired
	}
}
