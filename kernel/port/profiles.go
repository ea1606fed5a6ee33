package port

import (
	"context"

	"redwingpulley/kernel/model"
)

// ProfileRegister edits the profile register, which is replicated, and returns its history.
type ProfileRegister interface {
	// Edit has a majority of the replicas accept an edit; any member may be called. It returns within
	// a few seconds, even when the context has no deadline.
	Edit(ctx context.Context, edit model.ProfileEdit) model.EditResult
	// History returns the most recent accepted changes, the newest last.
	History() []model.ProfileChange
	// Changed returns a channel that is closed when the next revision comes into force at this member.
	Changed() <-chan struct{}
	// Replica returns this member's role in the replication of the register.
	Replica() ReplicaState
	// Places returns the places of the replicas. It asks their holders, for a second at most, what each does.
	Places(ctx context.Context) ReplicaPlaces
}

// ReplicaState is a member's role in the replication of the profile register.
type ReplicaState string

// Roles of members.
const (
	ReplicaNone    ReplicaState = "none"    // The member has no disk and holds no replica.
	ReplicaLearner ReplicaState = "learner" // The member has a disk and does not vote yet.
	ReplicaVoter   ReplicaState = "voter"   // The member has a disk and votes.
)
