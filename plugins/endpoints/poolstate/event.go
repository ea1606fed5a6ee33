// Package poolstate decides for one pool of endpoints: which batches it takes on, which endpoint
// runs which task, and what follows from answers, refusals and silence.
//
// A Machine is a state machine: the same events give the same effects. It does no I/O and reads no
// clock; its caller carries out the effects after Step has returned.
package poolstate

import (
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Event is something that happened to the pool.
type Event interface{ event() }

// Announced is an announcement of an endpoint.
type Announced struct{ Endpoint model.Endpoint }

// Submitted is a batch that asks to be run, with the profile in force.
type Submitted struct {
	Batch   model.Batch
	Profile model.Profile
}

// Replied is what came of a start.
type Replied struct {
	Task    model.TaskID
	Attempt int
	Reply   port.TaskReply
}

// RevokeReplied is what came of a revoke.
type RevokeReplied struct {
	Task    model.TaskID
	Attempt int
	Reply   port.RevokeReply
}

// Cancelled asks for the end of a batch.
type Cancelled struct{ Batch model.BatchID }

// Owners tells which entry VMs are alive. Work for a job whose owner is not among them is stopped
// after a grace time, since nobody waits for its answer.
type Owners struct{ Live []Origin }

// Origin is one run of an entry VM that owns jobs. An empty incarnation stands for any.
type Origin struct {
	Node        model.NodeID
	Incarnation model.Incarnation
}

// Disowned says that another member owned the pool for a while, or may have.
type Disowned struct{}

// Departed says that leased endpoints belong to other pools by now.
type Departed struct{ Endpoints []model.EndpointID }

// Moved says that another member owns the pool by now, and that those who send batches know it.
type Moved struct{}

// Elapsed says that the time returned by Wake has come.
type Elapsed struct{}

func (Announced) event()     {}
func (Submitted) event()     {}
func (Replied) event()       {}
func (RevokeReplied) event() {}
func (Cancelled) event()     {}
func (Owners) event()        {}
func (Disowned) event()      {}
func (Departed) event()      {}
func (Moved) event()         {}
func (Elapsed) event()       {}

// Effects are what the caller has to carry out.
type Effects struct {
	Starts    []Start             `json:",omitempty"`
	Revokes   []Revoke            `json:",omitempty"`
	Ended     []model.BatchResult `json:",omitempty"`
	Decisions []port.Decision     `json:",omitempty"` // Without their time and pool.
	Changes   []EndpointChange    `json:",omitempty"`
	Served    []Served            `json:",omitempty"`
}

// Reset empties the effects and keeps their buffers.
func (fx *Effects) Reset() {
	clear(fx.Starts)
	clear(fx.Revokes)
	clear(fx.Ended)
	fx.Starts = fx.Starts[:0]
	fx.Revokes = fx.Revokes[:0]
	fx.Ended = fx.Ended[:0]
	fx.Decisions = fx.Decisions[:0]
	fx.Changes = fx.Changes[:0]
	fx.Served = fx.Served[:0]
}

// Start sends a task to an endpoint.
type Start struct {
	Task     model.TaskID
	Attempt  int
	Endpoint model.EndpointID
	Address  string
	Deadline time.Time
	Payload  []byte
	Key      string `json:",omitempty"` // Of the job.
}

// Revoke asks an endpoint never to start a task, or with Stop to end it, after a delay. Each is
// answered by one RevokeReplied.
type Revoke struct {
	Task     model.TaskID
	Attempt  int // 0 for a task that another owner sent.
	Endpoint model.EndpointID
	Address  string
	Stop     bool
	After    time.Duration
	Key      string `json:",omitempty"` // Of the job.
}

// EndpointChange says what the pool holds an endpoint for, for the log.
type EndpointChange struct {
	Endpoint model.EndpointID
	From     Standing
	To       Standing
	Slots    int // That the pool counts with from now on.
}

// Served says how long a whole job with a latency objective took in the pool.
type Served struct {
	Took      time.Duration
	Objective time.Duration // By the pool's estimate of its run time.
}
