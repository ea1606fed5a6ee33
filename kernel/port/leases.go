package port

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
)

// LeasedEndpoints is the client of endpoints that run tasks under a lease. An endpoint remembers the
// highest fencing token that it has seen and rejects orders with a lower one. When the lease expires,
// the endpoint ends all its runs.
type LeasedEndpoints interface {
	// Start starts a run and extends the lease.
	Start(ctx context.Context, at EndpointIncarnation, order StartOrder) OrderReply
	// StopRun ends a run. A run that the endpoint has not yet been asked to start never starts.
	StopRun(ctx context.Context, at EndpointIncarnation, order StopOrder) OrderReply
	// Hold extends the lease, acknowledges ends of runs, and returns which runs are running and which
	// have ended.
	Hold(ctx context.Context, at EndpointIncarnation, order HoldOrder) HoldReply
}

// EndpointIncarnation is one incarnation of an endpoint that runs tasks under a lease.
type EndpointIncarnation struct {
	ID         model.EndpointID
	Address    string           // ip:port.
	DataCentre model.DataCentre // "" when it is not known.
}

// TaskRun identifies one run of a task at an endpoint.
type TaskRun struct {
	Key     string // The caller's own id of the task's job.
	Index   int    // Index of the task in its job.
	Attempt int    // Number of the run of the task, from 1.
}

// StartOrder is the request to start a run.
type StartOrder struct {
	Run     TaskRun
	Payload []byte
	Until   int64  // End of the lease, in milliseconds of the endpoint's clock.
	Token   uint64 // Fencing token of the lease.
}

// StopOrder is the request to end a run.
type StopOrder struct {
	Run   TaskRun
	Token uint64 // Fencing token of the lease.
}

// HoldOrder is the request to extend the lease and to list the running and ended runs.
type HoldOrder struct {
	Until int64         // End of the lease, in milliseconds of the endpoint's clock; 0 does not extend it.
	Seen  uint64        // Ends of runs up to this number are acknowledged.
	Wait  time.Duration // Longest time that the endpoint may wait for the end of a run before it replies.
	Token uint64        // Fencing token of the lease.
}

// OrderState is the outcome of an order.
type OrderState string

// States of orders. Two of them leave open whether the order was executed: OrderUnknown, after which it may also be
// executed later, and OrderOtherIncarnation, with which the other incarnation may have executed it.
const (
	OrderDone             OrderState = "done"
	OrderNotSent          OrderState = "not_sent"
	OrderUnknown          OrderState = "unknown"
	OrderFenced           OrderState = "fenced"     // The endpoint has seen a higher fencing token.
	OrderNoRoom           OrderState = "no_room"    // The run does not fit beside the tasks that run there.
	OrderSuperseded       OrderState = "old"        // A run of the task with the same or a higher attempt was stopped or has ended there.
	OrderRefused          OrderState = "refused"    // The endpoint refused the order for another reason and did nothing.
	OrderOtherIncarnation OrderState = "other_life" // Another incarnation of the endpoint replied.
)

// OrderReply is the reply to a start or stop order.
type OrderReply struct {
	State       OrderState
	Clock       int64            // Clock of the endpoint in milliseconds; 0 when the reply holds none.
	Incarnation model.EndpointID // With OrderOtherIncarnation, the one that replied; "" when the reply does not tell.
	Refused     bool             // With OrderNotSent, no process listens at the endpoint's address, or a partition refuses connections.
	Detail      string
}

// HoldReply is the reply to a hold order.
type HoldReply struct {
	State       OrderState
	Clock       int64            // Clock of the endpoint in milliseconds; 0 when the reply holds none.
	Incarnation model.EndpointID // With OrderOtherIncarnation, the one that replied; "" when the reply does not tell.
	Refused     bool             // With OrderNotSent, no process listens at the endpoint's address, or a partition refuses connections.
	Running     []TaskRun
	Ended       []RunEnd
	Detail      string
}

// RunEnd is the end of a run.
type RunEnd struct {
	Number uint64 // Sequence number among the ends at this endpoint; rises by one.
	Run    TaskRun
	How    TaskState // One of TaskDone, TaskFailed, TaskStopped and TaskLost.
}
