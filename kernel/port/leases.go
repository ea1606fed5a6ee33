package port

import (
	"context"
	"time"

	"redwingpulley/kernel/model"
)

// LeasedEndpoints is the client of endpoints that run tasks under a lease. An endpoint keeps the
// highest fencing token that it has seen and does nothing for a lower one. When the lease lapses,
// all that runs there is ended.
type LeasedEndpoints interface {
	// Start asks for a run and extends the lease.
	Start(ctx context.Context, at Lessor, order StartOrder) OrderReply
	// StopRun asks for the end of a run; one that is not there yet never starts.
	StopRun(ctx context.Context, at Lessor, order StopOrder) OrderReply
	// Hold extends the lease, acknowledges ends and asks for what runs and what has ended.
	Hold(ctx context.Context, at Lessor, order HoldOrder) HoldReply
}

// Lessor is one lifetime of an endpoint.
type Lessor struct {
	ID      model.EndpointID
	Address string // ip:port.
}

// TaskRun is one run of a task, as an endpoint names it.
type TaskRun struct {
	Key     string // Of the task's job.
	Index   int    // In the job.
	Attempt int    // Numbers the runs of the task, from 1.
}

// StartOrder asks for a run.
type StartOrder struct {
	Run     TaskRun
	Payload []byte
	Until   int64 // End of the lease, in milliseconds of the endpoint's clock.
	Token   uint64
}

// StopOrder asks for the end of a run.
type StopOrder struct {
	Run   TaskRun
	Token uint64
}

// HoldOrder asks what runs and what has ended.
type HoldOrder struct {
	Until int64         // End of the lease, in milliseconds of the endpoint's clock; 0 does not extend it.
	Seen  uint64        // Ends up to this number are acknowledged.
	Wait  time.Duration // For an end, before the answer.
	Token uint64
}

// OrderState tells what came of an order.
type OrderState string

// States of orders. Only OrderUnknown may have been carried out without word of it, or may be
// carried out later.
const (
	OrderDone      OrderState = "done"
	OrderNotSent   OrderState = "not_sent"
	OrderUnknown   OrderState = "unknown"
	OrderFenced    OrderState = "fenced"     // The endpoint has seen a higher token.
	OrderNoRoom    OrderState = "no_room"    // The run does not fit beside what runs there.
	OrderOld       OrderState = "old"        // A run as high was stopped or has ended there.
	OrderRefused   OrderState = "refused"    // For another reason; nothing was done.
	OrderOtherLife OrderState = "other_life" // Another lifetime of the endpoint answered.
)

// OrderReply is what came of a start or a stop.
type OrderReply struct {
	State  OrderState
	Clock  int64 // Of the endpoint, milliseconds; 0 when it told none.
	Detail string
}

// HoldReply is what came of a hold.
type HoldReply struct {
	State   OrderState
	Clock   int64 // Of the endpoint, milliseconds.
	Running []TaskRun
	Ended   []RunEnd
	Detail  string
}

// RunEnd is the end of a run.
type RunEnd struct {
	Number uint64 // Of the endpoint's ends; rises by one.
	Run    TaskRun
	How    TaskState // TaskDone, TaskFailed, TaskStopped or TaskLost.
}
