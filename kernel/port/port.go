// Package port holds the interfaces by which plug-ins meet. A plug-in knows the kernel and these
// interfaces, never another plug-in.
package port

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
)

// Jobs owns the jobs that were submitted to this entry VM.
type Jobs interface {
	// Mint returns count new job ids that this VM owns.
	Mint(count int) []model.JobID
	// Submit runs the job, or joins it when its id is known, and returns its outcome. The job goes
	// on when the context ends first; the outcome then says that it is running.
	Submit(ctx context.Context, job model.Job) model.Outcome
	// Lookup returns the job's outcome, from whichever VM owns it, and waits for its end until the
	// context ends.
	Lookup(ctx context.Context, id model.JobID) model.Outcome
	// Cancel asks for the job's end and returns its outcome.
	Cancel(ctx context.Context, id model.JobID) model.Outcome
}

// Pools reaches the pools of endpoints, this VM's own and those of other members.
type Pools interface {
	// Loads returns the newest known load of each pool of the service.
	Loads(service model.ServiceID) []model.PoolLoad
	// Run has the pool's owner run the batch and returns how it ended. When the context ends first
	// the batch is cancelled: Run then returns what ran of it, shortly after its deadline at the
	// latest.
	Run(ctx context.Context, owner model.NodeID, batch model.Batch) model.BatchResult
	// Announce records what an endpoint says of itself and returns which VM owns it.
	Announce(ctx context.Context, endpoint model.Endpoint) Ownership
	// Endpoints returns the endpoints that this VM owns.
	Endpoints() []EndpointStatus
}

// Ownership tells an endpoint where to announce itself next.
type Ownership struct {
	Owner    string        // ip:port of the owner's listener for endpoints.
	Interval time.Duration // Between announcements.
	Lease    time.Duration // Without an announcement the endpoint gets no more work after it.
	Recorded bool          // The owner has taken the announcement in.
}

// EndpointStatus is an owned endpoint as operators see it.
type EndpointStatus struct {
	Endpoint    model.Endpoint
	Busy        int
	Quarantined bool
}

// Node is a member of the system.
type Node struct {
	ID          model.NodeID
	Incarnation model.Incarnation
	DataCentre  model.DataCentre
	Peers       string // ip:port of its listener for peers.
	Endpoints   string // ip:port of its listener for endpoints.
	Disk        bool
	Draining    bool
	Reserve     bool // Owns pools only while no other member of its data centre can.
}

// Membership knows which entry VMs are alive.
type Membership interface {
	Self() Node
	// Alive returns the members that are thought alive, this one among them, sorted by id.
	Alive() []Node
	// Changed returns a channel that is closed at the next change of Alive.
	Changed() <-chan struct{}
	// Leave tells the others that this member drains and takes no new work.
	Leave(ctx context.Context)
}

// Profiles holds the profile register.
type Profiles interface {
	// Current returns the newest known profiles; ok is false until any revision has been learned.
	Current() (profiles model.ProfileSet, ok bool)
}

// Quotas bounds the task starts of teams over all entry VMs.
type Quotas interface {
	// Take takes tasks from the team's share; when there is too little it takes none and returns
	// after how long to try again.
	Take(profile model.Profile, team model.TeamID, tasks int) (ok bool, retryAfter time.Duration)
}
