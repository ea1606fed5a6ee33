package port

import "redwingpulley/kernel/model"

// Liveness provides details of the membership view beyond the members that are alive.
type Liveness interface {
	// Fresh reports whether this member's view is recent enough for it to act as an owner of pools.
	// It is false at the start and after the process was paused, until another member has answered
	// or enough time has passed without an answer from any. It takes no lock.
	Fresh() bool
	// Pauses returns how often this process was found to have stood still since it started. While Fresh is true, the number
	// includes a pause that has just ended. Whatever was decided under another number is void: callers may have sent their jobs
	// to other members meanwhile. It takes no lock.
	Pauses() uint64
	// Gone reports whether the incarnation of the node is known to have ended: it announced that it
	// stops, was considered dead, or was replaced by a later incarnation.
	Gone(node model.NodeID, incarnation model.Incarnation) bool
	// RequestProbe requests an immediate probe of a member that did not answer a request.
	RequestProbe(node model.NodeID)
}
