package lease

import "time"

const (
	// fencePatience is how long holds are sent to fence former holders after the newest request. An endpoint that cannot be reached for
	// longer may be behind a partition, with a former holder that is alive: when that heals, it must not lose its lease to a fence.
	fencePatience = time.Second
	// fenceRetryDelay is the delay before such a hold is sent again after one that failed.
	fenceRetryDelay = 100 * time.Millisecond
)

// fence is the progress of fencing former holders, which may have died: once the endpoint has carried out a hold that was sent after
// the request, it refuses their late orders, also those that arrive seconds after they were sent.
type fence struct {
	requestedAt time.Time // Zero when no fence is requested.
	until       time.Time // When the holds for the newest request end.
}

// handleFenceRequest handles a FenceRequested event. An endpoint that refuses this holder's token is left to the other holder, and one
// that is being retired gets a higher token anyway.
func (m *Machine) handleFenceRequest(now time.Time, fx *Effects) {
	m.fenceAtSuccessor(fx)
	if m.Retired() || m.retirement.phase != retireNotRequested || now.Before(m.fencedUntil) {
		return
	}
	m.renewToken(now)
	m.fence = fence{requestedAt: now, until: now.Add(fencePatience)}
}

// fenceAtSuccessor passes a request on to the incarnation that has replaced this one, if it is known: it carries out the late orders, too, and
// has forgotten the tokens that this one has accepted.
func (m *Machine) fenceAtSuccessor(fx *Effects) {
	if m.replaced && m.successor != "" {
		fx.Successor, fx.FenceSuccessor = m.successor, true
	}
}

// fenceHoldNeeded reports whether a hold is to be sent to fence former holders.
func (m *Machine) fenceHoldNeeded(now time.Time) bool {
	return !m.fence.requestedAt.IsZero() && now.Before(m.fence.until)
}

// fenceHoldAt returns when that hold is due.
func (m *Machine) fenceHoldAt() (at time.Time) {
	if m.failedHolds > 0 {
		at = m.holdSentAt.Add(fenceRetryDelay)
	}
	return at
}

// recordFence ends the request once the endpoint has carried out a hold that was sent after it.
func (m *Machine) recordFence() {
	if m.holdToken == m.token && !m.holdSentAt.Before(m.fence.requestedAt) {
		m.fence = fence{}
	}
}
