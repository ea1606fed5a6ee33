package lease

import (
	"time"

	"redwingpulley/kernel/port"
)

// recordContact records, from the outcome of an order, whether the endpoint refuses connections.
func (m *Machine) recordContact(now time.Time, state port.OrderState, refused bool) {
	switch {
	case state == port.OrderUnknown, state == port.OrderOtherIncarnation: // Neither tells that this incarnation lives.
	case state != port.OrderNotSent:
		m.refusingSince = time.Time{}
	case refused && m.refusingSince.IsZero():
		m.refusingSince = now
	}
}

// causeOfExpiry returns why runs are lost whose lease has expired without a reply from the endpoint.
func (m *Machine) causeOfExpiry() port.LossCause {
	if !m.refusingSince.IsZero() {
		return port.LossRefusing
	}
	return port.LossSilent
}

// causeOfReplacement returns why a run is lost at an endpoint whose next incarnation has been found. A run that was there when
// the endpoint ended is one whose lease had not expired by now, or by the time at which the endpoint began to refuse connections.
func (m *Machine) causeOfReplacement(now time.Time, r *run) port.LossCause {
	begun := r.listed || !r.confirmedAt.IsZero()
	switch {
	case m.retirement.phase != retireNotRequested:
		return port.LossLeft
	case !begun:
		return port.LossNotBegun
	case now.Before(m.leaseExpiredBy()), !m.refusingSince.IsZero() && m.refusingSince.Before(m.leaseExpiredBy()):
		return port.LossCrashed
	}
	return port.LossSilent
}
