// Package poolstate is the state machine of one pool of endpoints. It decides which batches the pool
// accepts, which endpoint runs which task, and how to react to answers, refusals and missing replies.
//
// A Machine is deterministic: the same events give the same effects. It does no I/O and reads no
// clock; its caller carries out the effects after Step has returned.
package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/endpoints/interference"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Announced reports an announcement (heartbeat) of an endpoint. HandedOver says that it comes from the pool's former owner, which is
// alive and has ordered nothing there that it does not wait for. PassedOn says that it went to a former owner that is lost: the endpoint
// is fenced, but gets no work before it announces itself to this owner, which may be unable to reach it.
type Announced struct {
	Endpoint   model.Endpoint
	HandedOver bool `json:",omitempty"`
	PassedOn   bool `json:",omitempty"`
}

// Submitted requests that a batch is run under the profile in force.
type Submitted struct {
	Batch   model.Batch
	Profile model.Profile
}

// Replied reports the outcome of a Start.
type Replied struct {
	Task    model.TaskID
	Attempt int
	Reply   port.TaskReply
	// Losses are the endpoints that have crashed, or may have, under runs of the task, as far as this member knows.
	Losses []model.Loss `json:",omitempty"`
}

// RevokeReplied reports the outcome of a Revoke.
type RevokeReplied struct {
	Task    model.TaskID
	Attempt int
	Reply   port.RevokeReply
}

// Cancelled requests that a batch is cancelled.
type Cancelled struct{ Batch model.BatchID }

// Owners lists the entry VMs that are alive. Work for a job whose owner is not among them is stopped
// after a grace period, since nobody waits for its answer.
type Owners struct {
	Live []Origin
	// Holders are those of them that may hold leases on endpoints of this pool: its former owners are among them while they live.
	Holders []Origin `json:",omitempty"`
}

// Origin identifies one incarnation of an entry VM that owns jobs. An empty incarnation matches any.
type Origin struct {
	Node        model.NodeID
	Incarnation model.Incarnation
}

// Disowned reports that another member owns the pool now, or may have owned it for a while.
type Disowned struct{}

// Departed reports that leased endpoints belong to other pools now.
type Departed struct{ Endpoints []model.EndpointID }

// Down reports that an endpoint refuses connections or has been replaced.
type Down struct{ Endpoint model.EndpointID }

// Resumed reports that the process had stood still and runs again.
type Resumed struct{}

// Moved reports that another member owns the pool now, and that the senders of batches know it.
type Moved struct{}

// Elapsed reports that the time of the machine's next timer has come.
type Elapsed struct{}

func (Announced) event()     {}
func (Submitted) event()     {}
func (Replied) event()       {}
func (RevokeReplied) event() {}
func (Cancelled) event()     {}
func (Owners) event()        {}
func (Disowned) event()      {}
func (Departed) event()      {}
func (Down) event()          {}
func (Resumed) event()       {}
func (Moved) event()         {}
func (Elapsed) event()       {}

// Effects are the outputs of a step, which the caller has to carry out.
type Effects struct {
	Starts    []Start             `json:",omitempty"`
	Revokes   []Revoke            `json:",omitempty"`
	Ended     []model.BatchResult `json:",omitempty"`
	Decisions []port.Decision     `json:",omitempty"` // Entries for the decision log, without their time and pool.
	Changes   []EndpointChange    `json:",omitempty"`
	Teams     []TeamChange        `json:",omitempty"`
	// Interference holds, for the log, the pairs of classes that have been found to slow each other down, or no longer do.
	Interference []interference.Change `json:",omitempty"`
	Served       []Served              `json:",omitempty"`
	Fences       []Fence               `json:",omitempty"`
	Released     []Release             `json:"-"` // Not recorded: they follow from the replies.
}

// Reset empties the effects and keeps their buffers for reuse.
func (fx *Effects) Reset() {
	clear(fx.Starts)
	clear(fx.Revokes)
	clear(fx.Ended)
	fx.Starts = fx.Starts[:0]
	fx.Revokes = fx.Revokes[:0]
	fx.Ended = fx.Ended[:0]
	fx.Decisions = fx.Decisions[:0]
	fx.Changes = fx.Changes[:0]
	fx.Teams = fx.Teams[:0]
	fx.Interference = fx.Interference[:0]
	fx.Served = fx.Served[:0]
	fx.Fences = fx.Fences[:0]
	fx.Released = fx.Released[:0]
}

// Start sends a task to an endpoint.
type Start struct {
	Task     model.TaskID
	Attempt  int
	Endpoint model.EndpointID
	Address  string
	Deadline time.Time
	Payload  []byte
	Key      string `json:",omitempty"` // Key of the job, as chosen by the caller.
}

// Revoke asks an endpoint never to start a task or, with Stop, to end it if it runs. It is sent after
// a delay. Each Revoke is answered by one RevokeReplied.
type Revoke struct {
	Task     model.TaskID
	Attempt  int // 0 for a task that another owner of the pool sent.
	Endpoint model.EndpointID
	Address  string
	Stop     bool
	// ReplacedBy is the incarnation that has replaced the endpoint; "" when none has.
	ReplacedBy model.EndpointID `json:",omitempty"`
	After      time.Duration    // Delay before the revoke is sent.
	Key        string           `json:",omitempty"` // Key of the job, as chosen by the caller.
}

// Fence asks a leased endpoint to carry out no late order of a former holder of its lease, who may have died.
type Fence struct {
	Endpoint model.EndpointID
	Address  string
}

// EndpointChange reports, for the log, that an endpoint's status changed in this pool.
type EndpointChange struct {
	Endpoint model.EndpointID
	From     Status
	To       Status
	Slots    int // Slots of the endpoint that the pool can use from now on.
}

// TeamChange reports, for the log, that a team is confined to a part of the pool, or no longer.
type TeamChange struct {
	Team      model.TeamID
	Confined  bool
	Endpoints int // Endpoints that confined teams may hold in this pool.
}

// Served reports the response time of a whole job in the pool, next to its latency objective.
type Served struct {
	Took      time.Duration
	Objective time.Duration // Computed from the pool's estimate of the job's run time.
}

// Release reports that an attempt at a task no longer occupies its endpoint: its end there is known, or
// its start was never sent.
type Release struct {
	Task    model.TaskID
	Attempt int
	Key     string `json:",omitempty"` // Key of the job, as chosen by the caller.
}
