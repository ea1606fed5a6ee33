package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

const (
	// retireAhead is the time by which the token that retires an endpoint is ahead of the tokens under which members start
	// runs. It is longer than a member uses an endpoint after it last heard of it (15 s) and the clocks of members differ. An
	// endpoint that starts again under its id may see the token, too, and is then refused to other members for as long.
	retireAhead = 30 * time.Second
	// retirePatience is how long holds are sent to retire an endpoint after the newest request.
	retirePatience = time.Second
	// retireRetryDelay is the delay before such a hold is sent again when it had no success.
	retireRetryDelay = 100 * time.Millisecond

	detailRetired = "the endpoint leaves"
)

// retirement is the progress of retiring an endpoint: no member, whatever it knows, can start a run there afterwards.
// The endpoint itself refuses the starts, because a hold has shown it a token that is higher than all under which members start
// runs. Two orders lead there. The first one, under an ordinary token, makes sure that this incarnation answers: the
// request may be based on a late message of an earlier one with the same id, and the later one is not to be retired.
type retirement struct {
	requested bool
	until     time.Time // Holds are sent until then, for the newest request.
	verified  bool      // The incarnation has answered since the first request, or has refused this member for a higher token.
	sent      bool      // The token is the one that retires the endpoint.
	complete  bool      // The endpoint has accepted that token, or a higher one of another member.
}

// Retired reports whether no member can start a run at this incarnation of the endpoint any more.
func (m *Machine) Retired() bool { return m.replaced || m.retirement.complete }

// handleRetireRequest handles a RetireRequested event. Runs that were not sent yet do not start.
func (m *Machine) handleRetireRequest(now time.Time, fx *Effects) {
	if m.Retired() {
		return
	}
	m.retirement.until = now.Add(retirePatience)
	if m.retirement.requested {
		return
	}
	m.retirement.requested = true
	m.retirement.verified = now.Before(m.fencedUntil)
	m.renewToken(now)
	for _, id := range m.sortedRuns() {
		if m.runs[id].phase == queued {
			m.finish(now, id, port.TaskLeasedElsewhere, detailRetired, fx)
		}
	}
}

// awaitsRetiringToken reports whether the next hold is the one that retires the endpoint, and its token is not raised yet.
func (m *Machine) awaitsRetiringToken() bool {
	return m.retirement.requested && m.retirement.verified && !m.retirement.sent
}

// raiseRetiringToken replaces the token by the one that retires the endpoint, once no order is in flight that the
// endpoint would then refuse.
func (m *Machine) raiseRetiringToken(now time.Time) {
	if !m.awaitsRetiringToken() || m.replaced || m.holdInFlight {
		return
	}
	for _, r := range m.runs {
		if r.phase == startSent || r.stopInFlight {
			return
		}
	}
	m.token = max(m.newToken(now.Add(retireAhead)), m.token+1<<holderBits)
	m.tokenAccepted, m.fenced, m.retirement.sent = false, false, true
}

// retireHoldNeeded reports whether a hold is to be sent because the endpoint is being retired.
func (m *Machine) retireHoldNeeded(now time.Time) bool {
	return m.retirement.requested && !m.Retired() && now.Before(m.retirement.until)
}

// retireHoldAt returns when that hold is due.
func (m *Machine) retireHoldAt() (at time.Time) {
	if m.failedHolds > 0 {
		at = m.holdSentAt.Add(retireRetryDelay)
	}
	return at
}

// recordRetireReply records the endpoint's reply to a hold while it is being retired. Only the token of another member that
// retires it, too, is higher than the one of this member.
func (m *Machine) recordRetireReply(state port.OrderState) {
	r := &m.retirement
	if !r.requested || state != port.OrderDone && state != port.OrderFenced {
		return
	}
	r.complete = r.complete || r.sent
	r.verified = true
}
