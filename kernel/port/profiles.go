package port

import (
	"context"

	"redwingpulley/kernel/model"
)

// ProfileRegister changes the profile register and tells its history.
type ProfileRegister interface {
	// Edit has the replicas agree on an edit, from whichever member it is called. It returns within
	// a few seconds, also when the context has no deadline.
	Edit(ctx context.Context, edit model.ProfileEdit) model.EditResult
	// History returns the newest accepted changes, the newest last.
	History() []model.ProfileChange
	// Changed returns a channel that is closed when the next revision is in force here.
	Changed() <-chan struct{}
	// Replica tells how this member takes part in the agreement.
	Replica() ReplicaState
}

// ReplicaState tells how a member takes part in the agreement on profiles.
type ReplicaState string

// States of replicas.
const (
	ReplicaNone    ReplicaState = "none"    // The member has no disk.
	ReplicaLearner ReplicaState = "learner" // It has a disk and does not vote yet.
	ReplicaVoter   ReplicaState = "voter"
)
