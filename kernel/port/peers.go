package port

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
)

// Peers carries requests between entry VMs. Bodies are encoded by the plug-in that provides it.
type Peers interface {
	// Handle registers the handler of a method; it is called before Start.
	Handle(method string, handler Handler)
	// Call sends request to the node's handler of method and decodes its answer into reply.
	Call(ctx context.Context, to model.NodeID, method string, request, reply any) Delivery
	// Learn sets the address of a node, ip:port.
	Learn(node model.NodeID, address string)
}

// Handler serves one method. decode fills the given pointer from the request's body. An error is
// a request that was wrong; outcomes of the method itself are part of the reply.
type Handler func(ctx context.Context, from model.NodeID, decode func(any) error) (reply any, err error)

// Delivery tells what is known of a call.
type Delivery int

// Deliveries. Only NotSent promises that the handler was not called.
const (
	Delivered Delivery = iota + 1
	NotSent
	Unknown
)

type freshKey struct{}

// FreshConnection returns a context whose calls use a connection opened after since, the start of
// a call that got no reply: its connection may have gone silent for good.
func FreshConnection(ctx context.Context, since time.Time) context.Context {
	return context.WithValue(ctx, freshKey{}, since)
}

// FreshSince returns the time that FreshConnection set; ok is false when any connection will do.
func FreshSince(ctx context.Context) (since time.Time, ok bool) {
	since, ok = ctx.Value(freshKey{}).(time.Time)
	return since, ok
}

// Handle registers a handler of typed requests and replies.
func Handle[Request, Reply any](peers Peers, method string, serve func(context.Context, model.NodeID, Request) Reply) {
	peers.Handle(method, func(ctx context.Context, from model.NodeID, decode func(any) error) (any, error) {
		var request Request
		if err := decode(&request); err != nil {
			return nil, err
		}
		return serve(ctx, from, request), nil
	})
}

// Tasks carries tasks to endpoints.
type Tasks interface {
	// Start has the endpoint at address run the task and waits for its answer.
	Start(ctx context.Context, address string, start TaskStart) TaskReply
	// Revoke asks, over a new connection, that the task never start; with Stop it also ends a
	// running one.
	Revoke(ctx context.Context, address string, revoke TaskRevoke) RevokeReply
}

// TaskStart is one attempt at a task.
type TaskStart struct {
	ID       model.TaskID
	Endpoint model.EndpointID
	Attempt  int
	Deadline int64 // Milliseconds from now.
	Payload  []byte
	Key      string // Of the task's job.
	Index    int    // In the job.
}

// TaskRevoke is a question about one attempt at a task.
type TaskRevoke struct {
	ID       model.TaskID
	Endpoint model.EndpointID
	Attempt  int
	Stop     bool
	Key      string
	Index    int
}

// TaskReply is what came of a start.
type TaskReply struct {
	State  TaskState
	Answer []byte
	Detail string
}

// TaskState is what is known of a task at an endpoint.
type TaskState string

// States of a task. TaskNotRun, TaskNoRoom, TaskAway and TaskRevoked promise that it did not start.
const (
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskNotRun  TaskState = "not_run"
	TaskUnknown TaskState = "unknown"
	TaskRevoked TaskState = "revoked"
	TaskRunning TaskState = "running"
	TaskStopped TaskState = "stopped"
	// TaskNoRoom is a task that did not start, because it does not fit beside what runs there.
	TaskNoRoom TaskState = "no_room"
	// TaskAway is a task that did not start, because another member holds the endpoint.
	TaskAway TaskState = "away"
	// TaskLost is a task that has surely ended without a result, by no fault of its own.
	TaskLost TaskState = "lost"
)

// RevokeReply is an endpoint's answer to a revoke; State is TaskUnknown when none came.
type RevokeReply struct {
	State  TaskState
	Answer []byte
}
