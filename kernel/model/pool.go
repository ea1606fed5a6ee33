package model

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// PoolID identifies a pool: the endpoints of one service in one data centre that share an owner and
// a queue. Part is 0 unless settings split a data centre's endpoints into several pools.
type PoolID struct {
	Service    ServiceID
	DataCentre DataCentre
	Part       int
}

// String formats the id for logs and hashing.
func (p PoolID) String() string {
	return string(p.Service) + "/" + string(p.DataCentre) + "/" + strconv.Itoa(p.Part)
}

// Compare orders pools by service, data centre and part.
func (p PoolID) Compare(other PoolID) int {
	return cmp.Or(
		strings.Compare(string(p.Service), string(other.Service)),
		strings.Compare(string(p.DataCentre), string(other.DataCentre)),
		cmp.Compare(p.Part, other.Part),
	)
}

// EndpointState is the state that an endpoint announces.
type EndpointState string

// States of an endpoint.
const (
	EndpointServing EndpointState = "serving"
	EndpointLeaving EndpointState = "leaving"
	EndpointGone    EndpointState = "gone" // The endpoint has ended; nothing runs there any more.
)

// Endpoint is one licensed copy of a service, as it announces itself.
type Endpoint struct {
	ID          EndpointID
	Service     ServiceID
	Worker      string
	Kind        string `json:",omitempty"` // Kind of the worker; workers of one kind are about equally fast.
	Rack        string
	DataCentre  DataCentre
	Address     string // ip:port.
	Slots       int    // Number of tasks that it runs at once.
	Connections int    // Number of connections that it accepts.
	Has         Needs  // Resources of the worker that it runs on.
	State       EndpointState
	Running     []TaskID
	// Born is the Unix time in milliseconds at which this incarnation of the endpoint started; 0 when
	// the announcement does not say. Of two endpoints with the same address, only the one with the
	// later Born still exists.
	Born int64 `json:",omitempty"`
	// Sequence numbers the announcements of one incarnation, from 1; 0 when the announcement does not
	// say.
	Sequence uint64 `json:",omitempty"`
	// Leased is set when the endpoint runs tasks under a lease that the pool's owner holds. Its
	// announcements then list no tasks.
	Leased bool `json:",omitempty"`
	// Taken is set when a former owner of the pool hands the endpoint over: the resources that its
	// tasks still use there.
	Taken Needs `json:",omitzero"`
	// Factor is set when a former owner of the pool hands the endpoint over: the time that a run takes there over that
	// at a typical worker of the pool. 0 means that it is not known.
	Factor float64 `json:",omitempty"`
	// Lease is how long the endpoint gets work after this announcement; 0 means the pool's default.
	Lease time.Duration `json:",omitempty"`
}

// PoolLoad is the load of a pool as its owner reports it, so that other members can decide where a
// job goes.
type PoolLoad struct {
	Pool      PoolID
	Owner     NodeID
	Version   uint64        // Rises with each report of one incarnation of the owner.
	Endpoints int           // Endpoints that accept work.
	Slots     int           // Slots of those endpoints.
	Free      int           // Slots without a task.
	FreeFast  int           `json:",omitempty"` // Those of them at endpoints that are clearly faster than the pool's mean.
	Queued    int           // Tasks waiting in the queue.
	QueuedRun time.Duration // Sum of the estimated run times of the queued tasks.
	MeanRun   time.Duration // Estimated run time of one task; 0 until a task has ended.
	Largest   Needs         // Largest amount of each resource that any endpoint has.

	Age time.Duration `json:"-"` // Time since the owner sent the report; 0 at the owner itself.
}

// BatchID identifies the part of a job that one pool's owner runs.
type BatchID struct {
	Job  JobID
	Part int
}

// Batch holds the tasks of one job that go to one pool. They are sent to its owner in one message.
type Batch struct {
	ID       BatchID
	Pool     PoolID
	Origin   NodeID // Entry VM that owns the job.
	Team     TeamID
	Deadline time.Time
	MaxWait  time.Duration // Longest expected wait of a task with which the pool accepts the batch; 0 means any.
	Tasks    []Task

	Key         string `json:",omitempty"` // The caller's own id of the job.
	MaxFailures int    `json:",omitempty"` // MaxFailures of the job.

	Objective Objective `json:",omitzero"`  // Latency objective of the job.
	Whole     bool      `json:",omitempty"` // Whether the batch holds all tasks of the job.
	Priority  int       `json:",omitempty"` // Priority of the job.
	Submitted time.Time `json:",omitzero"`  // When the job was submitted; zero if that is not known.
	JobTasks  int       `json:",omitempty"` // Number of tasks of the job; 0 in a batch with all of them, or if it is not known.
}

// TaskResult is how one task of a batch ended.
type TaskResult struct {
	Index  int
	Done   bool
	Answer []byte
	Run    RunState // Set when the task is not done.
	Reason Reason   // Set when the task is not done.
	Losses []Loss   `json:",omitempty"` // Endpoints that have crashed, or may have, under runs of the task.
}

// BatchResult is how a batch ended. A refused batch started none of its tasks.
type BatchResult struct {
	ID         BatchID
	Refused    bool
	Reason     Reason // Set when the batch was refused.
	RetryAfter time.Duration
	Results    []TaskResult
	Load       PoolLoad // Load of the pool when the batch ended.
}

// RefusedBatch returns the result of a batch that was refused: none of its tasks has started.
func RefusedBatch(id BatchID, reason Reason) BatchResult {
	return BatchResult{ID: id, Refused: true, Reason: reason}
}
