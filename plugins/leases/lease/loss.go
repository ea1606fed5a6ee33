package lease

import (
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/port"
)

// recordContact records, from the outcome of an order, whether the endpoint refuses connections.
func (m *Machine) recordContact(now time.Time, state port.OrderState, refused bool, fx *Effects) {
	fx.Down = refused || state == port.OrderOtherIncarnation
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

// loseForeignRuns reports the runs of other holders as lost, and forgets them. Their own holders wait for them and may have died.
func (m *Machine) loseForeignRuns(causeOf func(*foreignRun) port.LossCause, fx *Effects) {
	for _, id := range slices.SortedFunc(maps.Keys(m.foreignRuns), compareRuns) {
		fx.ForeignLosses = append(fx.ForeignLosses, ForeignLoss{id, causeOf(m.foreignRuns[id])})
	}
	clear(m.foreignRuns)
}

// causeOfReplacement returns why a run is lost at an endpoint whose next incarnation has been found; begun says that the endpoint
// had started the run, and extended when its lease was last known to be in force. The run was there when the endpoint ended if its
// lease had not expired by now, or by the time at which the endpoint began to refuse connections.
func (m *Machine) causeOfReplacement(now time.Time, begun bool, extended time.Time) port.LossCause {
	switch {
	case m.retirement.phase != retireNotRequested:
		return port.LossLeft
	case !begun:
		return port.LossNotBegun
	case now.Before(m.expiredBy(extended)), !m.refusingSince.IsZero() && m.refusingSince.Before(m.expiredBy(extended)):
		return port.LossCrashed
	}
	return port.LossSilent
}
