package poolstate

import (
	"slices"

	"redwingpulley/kernel/model"
)

// isOutdated reports whether an announcement was overtaken by a later one of the same endpoint, or
// comes from an endpoint whose address a later incarnation has taken over. One that names no incarnation counts as earlier than any.
func (m *Machine) isOutdated(a *model.Endpoint, known *endpoint) bool {
	if known != nil {
		return known.replacedBy != "" || a.Sequence > 0 && a.Sequence <= known.Sequence
	}
	return slices.ContainsFunc(m.endpointList, func(e *endpoint) bool {
		return e.live && e.Address == a.Address && e.Born > a.Born
	})
}

// expirePredecessors ends the leases of earlier incarnations at the address of a new endpoint, and records by which
// incarnation they are replaced.
func (m *Machine) expirePredecessors(a *model.Endpoint, fx *Effects) {
	if a.Born == 0 {
		return
	}
	for _, e := range slices.Clone(m.endpointList) {
		if e.Address != a.Address || e.Born >= a.Born {
			continue
		}
		e.replacedBy = a.ID
		if e.live {
			m.timers.stop(&e.leaseTimer)
			m.handleLeaseEnd(e, fx)
		}
	}
}
