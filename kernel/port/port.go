// Package port declares the interfaces through which plug-ins use each other. A plug-in depends on
// the kernel and on these interfaces, never on another plug-in.
package port

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
)

// Jobs manages the jobs that this entry VM owns and finds those that other VMs own.
type Jobs interface {
	// Mint returns count new ids of jobs that this VM will own.
	Mint(count int) []model.JobID
	// Submit runs the job, or joins it when its id is known, and returns its outcome. When the context
	// ends first, the job continues and the returned outcome is that of a running job.
	Submit(ctx context.Context, job model.Job) model.Outcome
	// Lookup returns the job's outcome, whichever VM owns the job. It waits until the job or the
	// context ends.
	Lookup(ctx context.Context, id model.JobID) model.Outcome
	// Cancel cancels the job and returns its outcome.
	Cancel(ctx context.Context, id model.JobID) model.Outcome
	// FindKey reports whether a VM runs a job with the key that its caller chose.
	FindKey(ctx context.Context, key string) KeyPresence
	// CancelKey cancels the running jobs with the key, whichever VMs own them, and reports whether there was one.
	CancelKey(ctx context.Context, key string) KeyPresence
}

// KeyPresence is what is known of the running jobs with a caller's key.
type KeyPresence int

// Presences of a key.
const (
	KeyUnknown   KeyPresence = iota + 1 // No VM runs such a job.
	KeyFound                            // A VM runs, or ran, such a job, and all VMs have answered.
	KeyUncertain                        // A VM that may run such a job has not answered.
)

// Pools gives access to the pools of endpoints, those that this VM owns and those of other members.
type Pools interface {
	// Loads returns the newest known load of each pool of the service.
	Loads(service model.ServiceID) []model.PoolLoad
	// Run has the pool's owner run the batch and returns its result. When the context ends first, the
	// batch is cancelled; Run then returns, at the latest shortly after the batch's deadline, which of
	// its tasks ran.
	Run(ctx context.Context, owner model.NodeID, batch model.Batch) model.BatchResult
	// Announce records the announcement of an endpoint and returns which VM owns the endpoint.
	Announce(ctx context.Context, endpoint model.Endpoint) Ownership
	// Endpoints returns the endpoints that this VM owns.
	Endpoints() []EndpointStatus
	// Withdraw records that a caller has cancelled the jobs with its key, so that no batch of them is accepted here any more, for some
	// time. Members that join are told; the others have to be told by the caller of Withdraw.
	Withdraw(key string)
	// Withdrawn reports whether the jobs with the key were cancelled.
	Withdrawn(key string) bool
}

// Ownership is the reply to an announcement; it tells an endpoint where and when to announce itself
// next.
type Ownership struct {
	Owner    string        // ip:port of the owner's listener for endpoints.
	Interval time.Duration // Time between announcements.
	Lease    time.Duration // Time after the last announcement during which the endpoint gets work.
	Recorded bool          // Whether the owner has recorded the announcement.
}

// EndpointStatus is the state of an endpoint that this VM owns, as shown to operators.
type EndpointStatus struct {
	Endpoint    model.Endpoint
	Busy        int // Slots that are occupied.
	Quarantined bool
}

// Node describes a member of the cluster.
type Node struct {
	ID          model.NodeID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	Peers       string // ip:port of its listener for peers.
	Endpoints   string // ip:port of its listener for endpoints.
	Disk        bool   // Whether it has a disk for the profile register.
	Draining    bool   // Whether it takes no new work.
	Reserve     bool   // Whether it owns pools only while no other member of its data centre can.
	// Weight is the member's part of the pools of its data centre, relative to the other members; 0 counts as 1.
	Weight float64
}

// Membership tracks which entry VMs are alive.
type Membership interface {
	Self() Node
	// Alive returns the members that are considered alive, including this one, sorted by id.
	Alive() []Node
	// Changed returns a channel that is closed when the result of Alive next changes.
	Changed() <-chan struct{}
	// Leave announces to the other members that this one is draining and takes no new work.
	Leave(ctx context.Context)
}

// Profiles gives read access to the profile register.
type Profiles interface {
	// Current returns the newest profiles known to this member; ok is false until one revision is
	// known.
	Current() (profiles model.ProfileSet, ok bool)
	// Changed returns a channel that is closed when the result of Current next changes.
	Changed() <-chan struct{}
}

// Quotas limits the rate at which each team starts tasks, across all entry VMs.
type Quotas interface {
	// Take takes the given number of tasks from this VM's share of the team's quota. When too little
	// is left, it takes none and returns after how long to try again.
	Take(profile model.Profile, team model.TeamID, tasks int) (ok bool, retryAfter time.Duration)
	// Look returns what Take would return now, and takes nothing.
	Look(profile model.Profile, team model.TeamID, tasks int) (ok bool, retryAfter time.Duration)
}
