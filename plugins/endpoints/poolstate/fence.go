package poolstate

import (
	"slices"

	"redwingpulley/kernel/model"
)

// A member that has ordered runs at a leased endpoint may be gone while one of its orders is still under way: an endpoint may carry it
// out seconds later, beside the run of the same job that its caller has sent to another member. So the pool's owner has each endpoint
// fenced when a member has departed that may have held its lease, and when it comes to know an endpoint whose former owner has not
// handed it over, whether or not it has a task for it.

// hasDeparted reports whether an incarnation of a member that may have held leases is not among those that may any more.
func hasDeparted(before, now []Origin) bool {
	return slices.ContainsFunc(before, func(o Origin) bool { return !slices.Contains(now, o) })
}

// fenceAll has the former holders of all endpoints fenced, also of those that are cordoned: the departed member may be the one that held
// their leases, or may have been the owner when they were passed on. Those that are silent are fenced once they announce themselves.
func (m *Machine) fenceAll(fx *Effects) {
	for _, e := range m.endpointList {
		e.fenceMissed = !e.live
		if e.live {
			e.fenceFormerHolders(fx)
		}
	}
}

// fenceFormerHolders has the former holders of the endpoint's lease fenced. An endpoint that leaves is retired, which does the same.
func (e *endpoint) fenceFormerHolders(fx *Effects) {
	if e.Leased && e.State == model.EndpointServing {
		fx.Fences = append(fx.Fences, Fence{e.ID, e.Address})
	}
}
