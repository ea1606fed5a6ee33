package model

import (
	"strconv"
	"time"
)

// PoolID names a pool: the endpoints of one service in one data centre that share an owner and a
// queue. Part is 0 unless settings split a data centre's endpoints into several pools.
type PoolID struct {
	Service    ServiceID
	DataCentre DataCentre
	Part       int
}

// String formats the id for logs and hashing.
func (p PoolID) String() string {
	return string(p.Service) + "/" + string(p.DataCentre) + "/" + strconv.Itoa(p.Part)
}

// EndpointState is what an endpoint says of itself.
type EndpointState string

// States of an endpoint.
const (
	EndpointServing EndpointState = "serving"
	EndpointLeaving EndpointState = "leaving"
	EndpointGone    EndpointState = "gone" // It has ended; nothing runs there any more.
)

// Endpoint is one licensed copy as it announces itself.
type Endpoint struct {
	ID          EndpointID
	Service     ServiceID
	Worker      string
	Rack        string
	DataCentre  DataCentre
	Address     string // ip:port.
	Slots       int    // Tasks that it runs at once.
	Connections int    // Connections that it accepts.
	Has         Needs  // Resources of its worker.
	State       EndpointState
	Running     []TaskID
	// Born is when this lifetime of the endpoint began, Unix milliseconds; 0 when it does not tell.
	// Of two at one address the later one is there.
	Born int64 `json:",omitempty"`
	// Sequence numbers the announcements of a lifetime, from 1; 0 when it does not tell.
	Sequence uint64 `json:",omitempty"`
	// Leased says that tasks run there under a lease that the pool's owner holds. Announcements then
	// list no tasks.
	Leased bool `json:",omitempty"`
	// Taken are the resources that tasks of the pool's former owner use there, as it hands the endpoint
	// over.
	Taken Needs `json:",omitzero"`
	// Lease is how long the endpoint gets work after this announcement; 0 is the pool's default.
	Lease time.Duration `json:",omitempty"`
}

// PoolLoad is what a pool's owner tells of it, so that others can decide where a job goes.
type PoolLoad struct {
	Pool      PoolID
	Owner     NodeID
	Version   uint64        // Grows with each report of one owner incarnation.
	Slots     int           // Slots of endpoints that take work.
	Free      int           // Slots with no task.
	Queued    int           // Tasks that wait.
	QueuedRun time.Duration // Estimated run time of the waiting tasks together.
	MeanRun   time.Duration // Estimated run time of one task; 0 until one has ended.
	Largest   Needs         // Componentwise maximum over the endpoints.

	Age time.Duration `json:"-"` // Since its owner told it; 0 at the owner.
}

// BatchID names the part of a job that one pool's owner runs.
type BatchID struct {
	Job  JobID
	Part int
}

// Batch is the tasks of one job that go to one pool, in one message.
type Batch struct {
	ID       BatchID
	Pool     PoolID
	Origin   NodeID // Entry VM that owns the job.
	Team     TeamID
	Deadline time.Time
	MaxWait  time.Duration // Longest expected wait of a task for which the batch is taken; 0 is any.
	Tasks    []Task

	Key         string `json:",omitempty"` // Of the job.
	MaxFailures int    `json:",omitempty"` // Of a task of the job.

	Objective Objective `json:",omitzero"`  // Of the job.
	Whole     bool      `json:",omitempty"` // The batch is the whole job.
}

// TaskResult is how one task of a batch ended.
type TaskResult struct {
	Index  int
	Done   bool
	Answer []byte
	Run    RunState // When it is not done.
	Reason Reason   // When it is not done.
}

// BatchResult is how a batch ended. A refused batch started none of its tasks.
type BatchResult struct {
	ID         BatchID
	Refused    bool
	Reason     Reason // When refused.
	RetryAfter time.Duration
	Results    []TaskResult
	Load       PoolLoad // The pool's load as the batch ended.
}

// RefusedBatch returns the result of a batch none of whose tasks started.
func RefusedBatch(id BatchID, reason Reason) BatchResult {
	return BatchResult{ID: id, Refused: true, Reason: reason}
}
