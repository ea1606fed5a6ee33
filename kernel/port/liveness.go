package port

import "redwingpulley/kernel/model"

// Liveness provides details of the membership view beyond the members that are alive.
type Liveness interface {
	// Fresh reports whether this member's view is recent enough for it to act as an owner of pools.
	// It is false at the start and after the process was paused, until another member has answered
	// or enough time has passed without an answer from any. It takes no lock.
	Fresh() bool
	// Gone reports whether the incarnation of the node is known to have ended: it announced that it
	// stops, was considered dead, or was replaced by a later incarnation.
	Gone(node model.NodeID, incarnation model.Incarnation) bool
	// RequestProbe requests an immediate probe of a member that did not answer a request.
	RequestProbe(node model.NodeID)
}
