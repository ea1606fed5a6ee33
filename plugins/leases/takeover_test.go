package leases

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

// unreachableEndpoint answers a first hold and starts, and nothing else.
type unreachableEndpoint struct{ holds int }

func (e *unreachableEndpoint) Start(context.Context, port.EndpointIncarnation, port.StartOrder) port.OrderReply {
	return port.OrderReply{State: port.OrderDone, Clock: 1}
}

func (e *unreachableEndpoint) StopRun(context.Context, port.EndpointIncarnation, port.StopOrder) port.OrderReply {
	return port.OrderReply{State: port.OrderUnknown}
}

func (e *unreachableEndpoint) Hold(context.Context, port.EndpointIncarnation, port.HoldOrder) port.HoldReply {
	e.holds++
	if e.holds > 1 {
		return port.HoldReply{State: port.OrderUnknown}
	}
	return port.HoldReply{State: port.OrderDone, Clock: 1}
}

// Guards against a task that runs twice after a hand-over: its run had been claimed, so that the next holder of the lease kept it
// running, and was reported as lost all the same once its former holder's lease would have expired.
func TestClaimedRunIsNotLostWhenItsFormerHolderCannotReachTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeases(t, &unreachableEndpoint{})
		run := port.TaskRun{Key: "k", Index: 0, Attempt: 1}
		outcome := make(chan port.TaskState, 1)
		go func() {
			outcome <- tasks{l}.Start(t.Context(), "127.0.0.1:1", port.TaskStart{Endpoint: "e", Key: run.Key, Index: run.Index, Attempt: run.Attempt}).State
		}()
		time.Sleep(10 * time.Millisecond) // Fake time: until the run is confirmed.
		const token = uint64(1) << 63     // Above any token made of the time.
		reply := l.handleClaim(t.Context(), "n2", claimRequest{Endpoint: "e", Token: token, Runs: []runMessage{runMessage(run)}})
		is.Equal(len(reply.Runs), 1)
		time.Sleep(5 * time.Second)
		is.Equal(len(outcome), 0) // No outcome while the next holder may keep the run running.
		l.handleForwardedEnds(t.Context(), "n2", endsMessage{Endpoint: "e", Ends: []endMessage{{Run: runMessage(run), How: port.TaskDone}}})
		is.Equal(<-outcome, port.TaskDone)
	})
}
