package leases

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// restartingEndpoint is an endpoint that starts again under its id. Orders name the id alone, so that each
// incarnation carries out all of them; only its replies to holds tell which incarnation it is.
type restartingEndpoint struct {
	mu          sync.Mutex
	incarnation model.EndpointID
	token       uint64
	running     map[port.TaskRun]bool
	ended       []port.RunEnd
	endCount    uint64
	// restartBefore is the number of the start order before which the endpoint starts again; 0 for never.
	restartBefore int
	starts        int
}

const (
	firstIncarnation = model.EndpointID("e@1")
	nextIncarnation  = model.EndpointID("e@2")
)

func newRestartingEndpoint(restartBefore int) *restartingEndpoint {
	return &restartingEndpoint{
		incarnation: firstIncarnation, running: make(map[port.TaskRun]bool),
		restartBefore: restartBefore,
	}
}

// restart ends all runs without a trace, as a crash does.
func (e *restartingEndpoint) restart() {
	e.incarnation, e.token = nextIncarnation, 0
	e.ended, e.endCount = nil, 0
	clear(e.running)
}

func (e *restartingEndpoint) rejects(token uint64) bool {
	rejected := token < e.token
	e.token = max(e.token, token)
	return rejected
}

func (e *restartingEndpoint) end(run port.TaskRun, how port.TaskState) {
	delete(e.running, run)
	e.endCount++
	e.ended = append(e.ended, port.RunEnd{Number: e.endCount, Run: run, How: how})
}

func (e *restartingEndpoint) isRunning(run port.TaskRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[run]
}

func (e *restartingEndpoint) Start(_ context.Context, _ port.EndpointIncarnation, order port.StartOrder) port.OrderReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if e.starts == e.restartBefore {
		e.restart()
	}
	if e.rejects(order.Token) {
		return port.OrderReply{State: port.OrderFenced}
	}
	e.running[order.Run] = true
	return port.OrderReply{State: port.OrderDone, Clock: 1}
}

func (e *restartingEndpoint) StopRun(_ context.Context, _ port.EndpointIncarnation, order port.StopOrder) port.OrderReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rejects(order.Token) {
		return port.OrderReply{State: port.OrderFenced}
	}
	if e.running[order.Run] {
		e.end(order.Run, port.TaskStopped)
	}
	return port.OrderReply{State: port.OrderDone, Clock: 1}
}

func (e *restartingEndpoint) Hold(_ context.Context, at port.EndpointIncarnation, order port.HoldOrder) port.HoldReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rejects(order.Token) {
		return port.HoldReply{State: port.OrderFenced}
	}
	if at.ID != e.incarnation {
		return port.HoldReply{State: port.OrderOtherIncarnation, Incarnation: e.incarnation}
	}
	reply := port.HoldReply{State: port.OrderDone, Clock: 1}
	for run := range e.running {
		reply.Running = append(reply.Running, run)
	}
	e.ended = slices.DeleteFunc(e.ended, func(end port.RunEnd) bool { return end.Number <= order.Seen })
	reply.Ended = slices.Clone(e.ended)
	return reply
}

// soleMember is the membership and the peers of a member that is alone.
type soleMember struct{ port.Peers }

func (soleMember) Self() port.Node                 { return port.Node{ID: "n1", Incarnation: "i1"} }
func (soleMember) Alive() []port.Node              { return []port.Node{{ID: "n1", Incarnation: "i1"}} }
func (soleMember) Changed() <-chan struct{}        { return nil }
func (soleMember) Leave(context.Context)           {}
func (soleMember) Handle(_ string, _ port.Handler) {}

func newLeases(t *testing.T, client port.LeasedEndpoints) *Leases {
	l := &Leases{settings: defaultSettings, client: client, peers: soleMember{}, membership: soleMember{}}
	l.init(slog.New(slog.DiscardHandler), metrics.NewRegistry())
	t.Cleanup(func() { l.Stop() })
	return l
}

// Guards against issue 24: a start was carried out by the endpoint's next incarnation, and its run was reported as lost while it
// was running, so that the task started a second time.
func TestRunStartedByNextIncarnationIsReportedOnlyAfterItsEnd(t *testing.T) {
	is := is.New(t)
	e := newRestartingEndpoint(1)
	l := newLeases(t, e)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	run := port.TaskRun{Key: "k", Index: 0, Attempt: 1}
	reply := tasks{l}.Start(ctx, "127.0.0.1:1", port.TaskStart{Endpoint: firstIncarnation, Key: run.Key, Index: run.Index, Attempt: run.Attempt})
	is.True(reply.State != port.TaskUnknown) // The outcome is known before the deadline.
	is.True(!e.isRunning(run))
	is.True(reply.State != port.TaskNotRun)
}

// Guards against two runs of a task: a member has died, and the endpoint's next incarnation carries its start out. The hold by which the next
// owner fenced the endpoint as it knew it went to that incarnation, and left the run there until its lease ended.
func TestFenceStopsTheRunOfADeadMemberAtTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newRestartingEndpoint(1)
		l := newLeases(t, e)
		run := port.TaskRun{Key: "k", Index: 0, Attempt: 1}
		e.Start(t.Context(), port.EndpointIncarnation{ID: firstIncarnation}, port.StartOrder{Run: run, Token: 1})
		is.True(e.isRunning(run))
		tasks{l}.Fence(port.EndpointIncarnation{ID: firstIncarnation, Address: "127.0.0.1:1"})
		time.Sleep(100 * time.Millisecond)
		is.True(!e.isRunning(run))
	})
}
