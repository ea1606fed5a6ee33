package port

import "redwingpulley/kernel/model"

// Liveness tells more of the members than who is alive.
type Liveness interface {
	// Fresh reports whether this member's view is recent enough to act as an owner. It is false
	// before the first contact with another member and after the process stood still, until a
	// member has answered or enough time has passed alone. It takes no lock.
	Fresh() bool
	// Gone reports whether that run of the node is known to have ended: it said that it stops, was
	// taken for dead, or was followed by another run.
	Gone(node model.NodeID, incarnation model.Incarnation) bool
	// Doubt says that a member did not answer a request; it is then probed at once.
	Doubt(node model.NodeID)
}
