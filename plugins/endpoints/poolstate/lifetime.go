package poolstate

import (
	"slices"

	"redwingpulley/kernel/model"
)

// outdated reports whether an announcement was overtaken by a later one, or comes from a lifetime
// whose address another one has by now.
func (m *Machine) outdated(a *model.Endpoint, known *endpoint) bool {
	if known != nil {
		return a.Sequence > 0 && a.Sequence <= known.Sequence
	}
	return a.Born > 0 && slices.ContainsFunc(m.members, func(e *endpoint) bool {
		return e.live && e.Address == a.Address && e.Born > a.Born
	})
}

// replaceAt ends the lease of an earlier lifetime at the address of a new endpoint.
func (m *Machine) replaceAt(a *model.Endpoint, fx *Effects) {
	if a.Born == 0 {
		return
	}
	for _, e := range slices.Clone(m.members) {
		if e.live && e.Address == a.Address && e.Born > 0 && e.Born < a.Born {
			m.timers.stop(&e.lease)
			m.lost(e, fx)
		}
	}
}
