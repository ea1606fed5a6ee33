package leases

import (
	"context"
	"math"
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

// startRun starts a run at endpoint e and returns once it is confirmed; the outcome follows.
func startRun(t *testing.T, l *Leases) (run port.TaskRun, outcome chan port.TaskState) {
	run, outcome = port.TaskRun{Key: "k", Index: 0, Attempt: 1}, make(chan port.TaskState, 1)
	go func() {
		outcome <- tasks{l}.Start(t.Context(), "127.0.0.1:1", port.TaskStart{Endpoint: "e", Key: run.Key, Index: run.Index, Attempt: run.Attempt}).State
	}()
	time.Sleep(10 * time.Millisecond) // On the virtual clock: until the run is confirmed.
	return run, outcome
}

// higherToken is a fencing token above any that is made of the time.
const higherToken = uint64(1) << 63

// Guards against a task that runs twice after a hand-over: its run had been claimed, so that the next holder of the lease kept it
// running, and was reported as lost all the same once its former holder's lease would have expired.
func TestClaimedRunIsNotLostWhenItsFormerHolderCannotReachTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeases(t, &unreachableEndpoint{})
		run, outcome := startRun(t, l)
		for range 50 { // For five seconds; the next holder extends the lease only while it renews the claim.
			reply := l.handleClaim(t.Context(), "n2", claimRequest{Endpoint: "e", Token: higherToken, Runs: []runMessage{runMessage(run)}})
			is.Equal(len(reply.Runs), 1)
			time.Sleep(100 * time.Millisecond)
			is.Equal(len(outcome), 0) // No outcome while the next holder may keep the run running.
		}
		l.handleForwardedEnds(t.Context(), "n2", endsMessage{Endpoint: "e", Ends: []endMessage{{Run: runMessage(run), How: port.TaskDone}}})
		is.Equal(<-outcome, port.TaskDone)
	})
}

// Guards against a task that runs twice after a hand-over: a late order of the next holder extends the lease when the claim is out of date,
// and the run is reported as lost before that. A time that no order can be late by counts as the longest one.
func TestClaimedRunIsNotLostWhileLateOrdersOfTheHolderMayExtendItsLease(t *testing.T) {
	for _, lateMS := range []int64{10_000, math.MaxInt64} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := newLeases(t, &unreachableEndpoint{})
			run, outcome := startRun(t, l)
			l.handleClaim(t.Context(), "n2", claimRequest{Endpoint: "e", Token: higherToken, Runs: []runMessage{runMessage(run)}, LateExtensionsMS: lateMS})
			time.Sleep(10 * time.Second)
			is.Equal(len(outcome), 0)
			time.Sleep(4 * time.Second)
			is.Equal(len(outcome), 1)
		})
	}
}

// Guards against a run that nobody stops: its batch was cancelled after the lease had moved, and the claim to it stood.
func TestClaimSaysThatARunIsToBeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeases(t, &unreachableEndpoint{})
		run, outcome := startRun(t, l)
		query := claimRequest{Endpoint: "e", Token: higherToken, Runs: []runMessage{runMessage(run)}}
		is.Equal(l.handleClaim(t.Context(), "n2", query), claimReply{Runs: query.Runs})
		revoked := make(chan port.TaskState, 1)
		go func() {
			revoked <- tasks{l}.Revoke(t.Context(), "127.0.0.1:1", port.TaskRevoke{Endpoint: "e", Stop: true, Key: run.Key, Index: run.Index, Attempt: run.Attempt}).State
		}()
		time.Sleep(10 * time.Millisecond) // On the virtual clock: until the stop is requested.
		is.Equal(l.handleClaim(t.Context(), "n2", query), claimReply{Stop: query.Runs})
		is.Equal(len(outcome)+len(revoked), 0) // The run may still be at work.
		l.handleForwardedEnds(t.Context(), "n2", endsMessage{Endpoint: "e", Ends: []endMessage{{Run: runMessage(run), How: port.TaskStopped}}})
		is.Equal([]port.TaskState{<-outcome, <-revoked}, []port.TaskState{port.TaskStopped, port.TaskStopped})
	})
}
