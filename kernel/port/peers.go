package port

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
)

// Peers carries requests between entry VMs. The plug-in that provides it encodes the bodies.
type Peers interface {
	// Handle registers the handler of a method. It must be called before Start.
	Handle(method string, handler Handler)
	// Call sends request to the node's handler of method and decodes the answer into reply.
	Call(ctx context.Context, to model.NodeID, method string, request, reply any) Delivery
	// Encode encodes a request once for calls to many nodes. The result takes the place of the request in Call.
	Encode(request any) (EncodedRequest, error)
	// SetAddress sets the address of a node, ip:port.
	SetAddress(node model.NodeID, address string)
}

// EncodedRequest is a request as it travels.
type EncodedRequest struct {
	Plain      []byte
	Compressed []byte // Nil where the request is too small to gain by it.
}

// MarshalJSON returns the request itself, so that an encoder passes it on as it is.
func (e EncodedRequest) MarshalJSON() ([]byte, error) { return e.Plain, nil }

// Handler serves the requests of one method. decode decodes the request's body into the given
// pointer. An error means that the request was invalid; outcomes of the method itself are part of the
// reply.
type Handler func(ctx context.Context, from model.NodeID, decode func(any) error) (reply any, err error)

// Delivery is what the caller knows of the delivery of a call.
type Delivery int

// Deliveries. Only NotSent and Refused guarantee that the handler was not called.
const (
	Delivered Delivery = iota + 1
	NotSent
	Refused // Not sent: no process listens at the member's address, so that the one that did has ended, or a partition refuses connections.
	Unknown
)

type freshConnectionKey struct{}

// FreshConnection returns a context whose calls use a connection opened after since. It is meant for
// a call that follows one without a reply: since is the start of that call, whose connection may be
// dead.
func FreshConnection(ctx context.Context, since time.Time) context.Context {
	return context.WithValue(ctx, freshConnectionKey{}, since)
}

// FreshSince returns the time that was set by FreshConnection; ok is false when any connection may be
// used.
func FreshSince(ctx context.Context) (since time.Time, ok bool) {
	since, ok = ctx.Value(freshConnectionKey{}).(time.Time)
	return since, ok
}

// Handle registers a handler of typed requests and replies.
func Handle[Request, Reply any](peers Peers, method string, handle func(context.Context, model.NodeID, Request) Reply) {
	peers.Handle(method, func(ctx context.Context, from model.NodeID, decode func(any) error) (any, error) {
		var request Request
		if err := decode(&request); err != nil {
			return nil, err
		}
		return handle(ctx, from, request), nil
	})
}

// Tasks sends tasks to endpoints.
type Tasks interface {
	// Start has the endpoint at address run the task and waits for the answer.
	Start(ctx context.Context, address string, start TaskStart) TaskReply
	// Revoke asks the endpoint, over a new connection, never to start the task if it has not started
	// yet. With Stop set, a running task is also ended.
	Revoke(ctx context.Context, address string, revoke TaskRevoke) RevokeReply
	// Retire makes an endpoint that leaves refuse the starts of all members, also of those that do not know that it leaves.
	// It reports whether that is certain; tasks that run there continue. Only endpoints that run tasks under a lease can be
	// retired; for others it reports false.
	Retire(ctx context.Context, at EndpointIncarnation) bool
	// Fence makes the endpoint refuse late orders of members that have ordered runs there before, some of which may have died. It
	// returns at once; runs that live members wait for continue. It has no effect on endpoints without leases, which a revoke
	// fences for each task.
	Fence(at EndpointIncarnation)
	// Observe registers an observer, before the plug-ins start. RunLost is called for endpoints with leases only.
	Observe(observer EndpointObserver)
}

// EndpointObserver is told what becomes of endpoints and of the runs there. Its methods must not block.
type EndpointObserver interface {
	// StartSlow says that an endpoint has not answered the start of a run for some time, and may carry it out late. StartAnswered says
	// that it has answered after that. They are called for endpoints with leases only.
	StartSlow(run TaskRun)
	StartAnswered(run TaskRun)
	// RunLost says that a run was lost at an endpoint, also one that another member has requested. It is called before the
	// reply to the run's start is returned.
	RunLost(endpoint model.EndpointID, run TaskRun, cause LossCause)
	// EndpointDown says that an endpoint refuses connections, or that another incarnation has replaced it. This ends no run.
	EndpointDown(endpoint model.EndpointID)
}

// TaskStart is one attempt at a task.
type TaskStart struct {
	ID         model.TaskID
	Endpoint   model.EndpointID
	DataCentre model.DataCentre // That of the endpoint.
	Attempt    int
	Deadline   int64 // Time until the deadline in milliseconds.
	Payload    []byte
	Key        string // The caller's own id of the task's job.
	Index      int    // Index of the task in its job.
}

// TaskRevoke is the request to revoke one attempt at a task.
type TaskRevoke struct {
	ID       model.TaskID
	Endpoint model.EndpointID
	Attempt  int
	Stop     bool // Whether a running task is ended too.
	// ReplacedBy is the incarnation of the endpoint that has replaced the one that was asked to start the task; "" when none has.
	ReplacedBy model.EndpointID
	Key        string // The caller's own id of the task's job.
	Index      int    // Index of the task in its job.
}

// TaskReply is the result of a start.
type TaskReply struct {
	State  TaskState
	Answer []byte
	Detail string
	Cause  LossCause // Set with TaskLost, where the sender knows of causes.
	// TimeUnknown says that the time from the start to this reply may exceed the run's time by more than MaxTimingError.
	TimeUnknown bool
}

// MaxStartWait is how long a start may wait for a leased endpoint before it is sent. After a longer time the process may have
// stood still, and the caller may have sent the job to another member.
const MaxStartWait = 700 * time.Millisecond

// MaxTimingError is by how much the time from a start to its reply may exceed the time of the run that counts as measured. A
// process with a small share of a core may be stopped by the scheduler for nearly its period of 100 ms, while
// the loss of a packet or of a connection costs 200 ms or more.
const MaxTimingError = 100 * time.Millisecond

// LossCause is what is known about why a run was lost.
type LossCause string

// Causes of lost runs. Only LossCrashed is certain to be a crash of the endpoint under the run.
const (
	LossUnknown  LossCause = ""
	LossCrashed  LossCause = "crashed"   // The endpoint had started the run, and ended before the run's lease did.
	LossNotBegun LossCause = "not_begun" // The endpoint has ended; whether it had started the run is not known.
	LossRefusing LossCause = "refusing"  // The lease expired while the endpoint refused connections.
	LossSilent   LossCause = "silent"    // The lease expired while the endpoint, or the way to it, gave no answer.
	LossLeft     LossCause = "left"      // The endpoint was leaving and has ended.
	LossDropped  LossCause = "dropped"   // The endpoint answers, and has ended the run without a result.
)

// TaskState is what is known about a task at an endpoint.
type TaskState string

// States of a task. TaskNotRun, TaskNoRoom, TaskLeasedElsewhere and TaskRevoked guarantee that
// the task did not start.
const (
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskNotRun  TaskState = "not_run"
	TaskUnknown TaskState = "unknown"
	TaskRevoked TaskState = "revoked"
	TaskRunning TaskState = "running"
	TaskStopped TaskState = "stopped"
	// TaskNoRoom means that the task did not start because it does not fit beside the tasks that run
	// at the endpoint.
	TaskNoRoom TaskState = "no_room"
	// TaskLeasedElsewhere means that the task did not start because another member holds the
	// endpoint's lease.
	TaskLeasedElsewhere TaskState = "away"
	// TaskLost means that the task is known to have ended without a result, and that the task itself
	// did not cause this.
	TaskLost TaskState = "lost"
)

// RevokeReply is an endpoint's answer to a revoke; State is TaskUnknown when no answer arrived.
type RevokeReply struct {
	State       TaskState
	Answer      []byte
	TimeUnknown bool // As in TaskReply.
}
