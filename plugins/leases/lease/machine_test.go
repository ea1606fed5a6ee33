package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testConfig = Config{HolderID: 7, MaxLease: time.Second, StopTimeout: 50 * time.Millisecond, FencedBackoff: 3 * time.Second}

func testRun(index int) port.TaskRun { return port.TaskRun{Key: "k", Index: index, Attempt: 1} }

// harness applies events to a machine at times that the test sets.
type harness struct {
	is      *is.I
	machine *Machine
	now     time.Time
	fx      Effects
}

func newHarness(t *testing.T) *harness {
	return &harness{is: is.New(t), machine: New(testConfig), now: startTime}
}

func (h *harness) step(event Event) Effects {
	h.fx = h.machine.Step(h.now, event)
	return h.fx
}

func (h *harness) advance(d time.Duration) *harness {
	h.now = h.now.Add(d)
	return h
}

// clock returns the endpoint's clock, which runs at the rate of the test's clock.
func (h *harness) clock() int64 { return h.now.Sub(startTime).Milliseconds() + 1000 }

func (h *harness) replyToHold(running []port.TaskRun, ended ...port.RunEnd) Effects {
	return h.step(HoldReplied{port.HoldReply{State: port.OrderDone, Clock: h.clock(), Running: running, Ended: ended}})
}

// failHold reports that the hold in flight gets no reply.
func (h *harness) failHold() Effects {
	return h.step(HoldReplied{port.HoldReply{State: port.OrderUnknown}})
}

// fence reports that the endpoint refuses the hold in flight, since another member holds the lease.
func (h *harness) fence() Effects {
	return h.step(HoldReplied{port.HoldReply{State: port.OrderFenced}})
}

// confirm reports that the endpoint has started a run.
func (h *harness) confirm(run port.TaskRun) Effects {
	return h.step(StartReplied{run, port.OrderReply{State: port.OrderDone, Clock: h.clock()}})
}

// newRunningHarness returns a harness whose endpoint has accepted the token and confirmed count runs.
func newRunningHarness(t *testing.T, count int) *harness {
	h := newHarness(t)
	var runs []port.TaskRun
	for i := range count {
		h.step(StartRequested{Run: testRun(i)})
		runs = append(runs, testRun(i))
	}
	h.advance(time.Millisecond).replyToHold(nil)
	for _, r := range runs {
		h.advance(time.Millisecond).confirm(r)
	}
	return h
}

func TestStartWaitsForFirstHoldReply(t *testing.T) {
	h := newHarness(t)
	fx := h.step(StartRequested{Run: testRun(0), Payload: []byte("x")})
	h.is.Equal(len(fx.Starts), 0)
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Until, int64(0)) // The endpoint's clock is not known yet.
	fx = h.advance(time.Millisecond).replyToHold(nil)
	h.is.Equal(len(fx.Starts), 1)
	h.is.Equal(fx.Starts[0].Until, h.clock()+1000)
	h.is.Equal(fx.Starts[0].Token, fx.Hold.Token)
}

// Guards against two runs of a task: the process stood still while a start waited for the endpoint, and sent it when it resumed,
// while the job that its caller had sent again ran elsewhere.
func TestStartThatHasWaitedThroughAPauseIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	fx := h.advance(port.MaxStartWait + time.Millisecond).replyToHold(nil)
	h.is.Equal(len(fx.Starts), 0)
	h.is.Equal(fx.Finished[0].State, port.TaskNoRoom)
}

// Guards against issue 24: an endpoint that leaves a hold unanswered may be starting again, and its next incarnation would carry
// out the start.
func TestStartWaitsForHoldAfterFailedOne(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.failHold()
	fx := h.step(StartRequested{Run: testRun(1)})
	h.is.Equal(len(fx.Starts), 0)
	fx = h.advance(retryDelay).step(Elapsed{})
	h.is.True(fx.Hold != nil)
	fx = h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.is.Equal(len(fx.Starts), 1)
}

func TestRunEndFinishesRunAndIsAcknowledgedByNextHold(t *testing.T) {
	h := newRunningHarness(t, 2)
	fx := h.advance(60*time.Millisecond).replyToHold([]port.TaskRun{testRun(1)}, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	h.is.Equal(fx.Finished, []Finished{{Run: testRun(0), State: port.TaskDone, Detail: "ended done"}})
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Seen, uint64(1))
	h.is.True(fx.Hold.Until > h.clock())
}

// Guards against ends of the endpoint's next incarnation that are acknowledged unread: their numbers start anew.
func TestHoldAfterFailedOneAcknowledgesNoEnds(t *testing.T) {
	h := newRunningHarness(t, 2)
	fx := h.replyToHold([]port.TaskRun{testRun(1)}, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	h.is.Equal(fx.Hold.Seen, uint64(1))
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(1)})
	h.failHold()
	fx = h.advance(retryDelay).step(Elapsed{})
	h.is.Equal(fx.Hold.Seen, uint64(0))
	fx = h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(1)})
	h.is.Equal(fx.Hold.Seen, uint64(1))
}

func TestIdleEndpointGetsHoldThatAcknowledgesEnds(t *testing.T) {
	h := newRunningHarness(t, 1)
	fx := h.replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	h.is.True(fx.Hold == nil) // A start that follows soon triggers a hold anyway.
	at, ok := h.machine.NextTimer(h.now)
	h.is.True(ok)
	h.now = at
	fx = h.step(Elapsed{})
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Seen, uint64(1))
	h.is.Equal(fx.Hold.Until, int64(0))
	h.replyToHold(nil)
	h.is.True(h.machine.Idle())
}

func TestRepeatedRunEndIsIgnored(t *testing.T) {
	h := newRunningHarness(t, 1)
	end := port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskFailed}
	h.is.Equal(h.replyToHold(nil, end).Finished[0].State, port.TaskFailed)
	h.step(StartRequested{Run: testRun(0)}) // The old end must not finish the new request for the same run.
	h.is.Equal(len(h.replyToHold([]port.TaskRun{testRun(0)}, end).Finished), 0)
}

func TestUnansweredStartIsStoppedBeforeReportedAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold(nil)
	fx := h.advance(200 * time.Millisecond).step(StartReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(len(fx.Finished), 0)
	h.is.Equal(fx.Stops[0].Run, testRun(0))
	fx = h.advance(time.Millisecond).step(StopReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(len(fx.Stops), 0)
	fx = h.advance(retryDelay).step(Elapsed{})
	h.is.Equal(len(fx.Stops), 1) // The stop is repeated until it is acknowledged.
	h.advance(time.Millisecond).step(StopReplied{testRun(0), port.OrderReply{State: port.OrderDone}})
	h.is.Equal(len(h.advance(time.Millisecond).replyToHold(nil).Finished), 0) // This hold was sent before the stop.
	h.is.Equal(len(h.advance(time.Millisecond).replyToHold(nil).Finished), 0) // This one may have arrived before the stopped run ended.
	h.advance(testConfig.StopTimeout).replyToHold(nil)
	fx = h.advance(time.Millisecond).replyToHold(nil)
	h.is.Equal(fx.Finished[0].State, port.TaskNotRun)
}

func TestStartWithLostReplyContinuesWhenListedAsRunning(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold(nil)
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	fx := h.advance(time.Millisecond).step(StartReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(len(fx.Stops), 0)
	fx = h.replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	h.is.Equal(fx.Finished[0].State, port.TaskDone)
}

func TestUnreachableEndpointLosesRunsOnceLeaseHasExpired(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.replyToHold([]port.TaskRun{testRun(0)})
	extended := h.machine.leaseExtendedAt
	for h.now.Sub(startTime) < 3*time.Second {
		if h.machine.holdInFlight {
			h.advance(200 * time.Millisecond).failHold()
		} else {
			at, ok := h.machine.NextTimer(h.now)
			h.is.True(ok)
			h.now = at
			h.step(Elapsed{})
		}
		if h.fx.Hold != nil && h.fx.Hold.Until > 0 {
			extended = h.now
		}
		if len(h.fx.Finished) > 0 {
			break
		}
	}
	h.is.Equal(h.fx.Finished[0].State, port.TaskLost)
	h.is.True(h.now.Sub(extended) >= 1020*time.Millisecond) // The lease of 1 s by a clock that is 2% slow.
	h.is.True(h.now.Sub(startTime) < 2500*time.Millisecond)
}

func TestRunNoLongerListedIsLost(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.is.Equal(len(h.advance(time.Millisecond).replyToHold(nil).Finished), 0) // The hold was sent before the start.
	fx := h.advance(time.Millisecond).replyToHold(nil)
	h.is.Equal(fx.Finished[0].State, port.TaskLost)
}

func TestOtherIncarnationLosesAllRuns(t *testing.T) {
	h := newRunningHarness(t, 2)
	fx := h.step(HoldReplied{port.HoldReply{State: port.OrderOtherIncarnation}})
	h.is.Equal(len(fx.Finished), 2)
	h.is.Equal(fx.Finished[0].State, port.TaskLost)
	h.is.True(fx.Hold == nil)
	h.is.Equal(h.step(StartRequested{Run: testRun(9)}).Finished[0].State, port.TaskNotRun)
}

func TestFencedHolderBacksOffAndAcceptsForwardedEnds(t *testing.T) {
	h := newRunningHarness(t, 1)
	fx := h.fence()
	h.is.Equal(fx.Lost, LossFenced)
	h.is.Equal(len(fx.Finished), 0) // The run continues under the next holder.
	h.is.True(fx.Hold == nil)
	at, _ := h.machine.NextTimer(h.now)
	end, _ := h.machine.endedBy(h.machine.runs[testRun(0)])
	h.is.Equal(at, end) // No hold is due during FencedBackoff.
	h.is.Equal(h.step(StartRequested{Run: testRun(1)}).Finished[0].State, port.TaskLeasedElsewhere)
	fx = h.step(EndForwarded{port.RunEnd{Run: testRun(0), How: port.TaskDone}})
	h.is.Equal(fx.Finished[0].State, port.TaskDone)
	_, ok := h.machine.NextTimer(h.now)
	h.is.True(!ok) // Nothing else is due either.

	token := h.machine.token
	fx = h.advance(testConfig.FencedBackoff).step(StartRequested{Run: testRun(2)})
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token > token)
}

func TestForeignRunIsStoppedUnlessMemberClaimsIt(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	fx := h.replyToHold([]port.TaskRun{testRun(5), testRun(6)})
	h.is.Equal(fx.ClaimQuery.Runs, []port.TaskRun{testRun(5), testRun(6)})
	fx = h.step(Claimed{Queried: fx.ClaimQuery.Runs, Claims: []Claim{{Run: testRun(6), Member: "n2"}}})
	h.is.Equal(len(fx.Stops), 1)
	h.is.Equal(fx.Stops[0].Run, testRun(5))
	fx = h.advance(time.Millisecond).replyToHold(nil, port.RunEnd{Number: 4, Run: testRun(6), How: port.TaskDone})
	h.is.Equal(fx.ForwardEnds, []ForwardedEnd{{port.RunEnd{Number: 4, Run: testRun(6), How: port.TaskDone}, "n2"}})
}

// An end that arrives before its run was listed, or before a member has claimed it, goes to all members.
func TestEndOfUnclaimedRunIsForwardedToAll(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	h.replyToHold([]port.TaskRun{testRun(5)})
	fx := h.advance(time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(5), How: port.TaskDone})
	h.is.Equal(len(fx.ForwardEnds), 1)
	h.is.Equal(fx.ForwardEnds[0].To, model.NodeID(""))
}

func TestStoppedRunFinishesWithReportedEnd(t *testing.T) {
	h := newRunningHarness(t, 1)
	fx := h.step(StopRequested{testRun(0)})
	h.is.Equal(len(fx.Stops), 1)
	h.is.Equal(len(fx.Finished), 0)
	h.step(StopReplied{testRun(0), port.OrderReply{State: port.OrderDone}})
	fx = h.replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskStopped})
	h.is.Equal(fx.Finished[0].State, port.TaskStopped)
}

func TestTokenIsRenewedAfterIdleTimeout(t *testing.T) {
	h := newRunningHarness(t, 1)
	first := h.machine.token
	h.replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	h.now = h.now.Add(tokenIdleTimeout)
	h.step(Elapsed{})
	h.replyToHold(nil)
	fx := h.advance(time.Second).step(StartRequested{Run: testRun(1)})
	h.is.True(fx.Hold.Token > first)
	h.is.Equal(len(fx.Starts), 0)
}

// refuseFirstHolds requests a start count times, and lets the hold that asks the endpoint to accept the
// token fail each time.
func (h *harness) refuseFirstHolds(count int) {
	for i := range count {
		h.step(StartRequested{Run: testRun(i)})
		h.advance(retryDelay).step(Elapsed{})
		h.failHold()
	}
}

// Guards against issue 16: after two failed holds each start was reported as lost at once, without a
// request to the endpoint, and its pool started it again without a pause.
func TestStartAfterFailedHoldsWaitsForEndpoint(t *testing.T) {
	h := newHarness(t)
	h.refuseFirstHolds(maxFailedHolds)
	h.advance(2 * time.Second)
	fx := h.step(StartRequested{Run: testRun(9), Payload: []byte("x")})
	h.is.Equal(fx.Finished, nil)
	h.is.Equal(fx.Lost, LossReason(""))
	h.is.True(fx.Hold != nil)
	at, ok := h.machine.NextTimer(h.now)
	h.is.True(!ok || at.After(h.now)) // A timer that is due at once would fire again and again.
	fx = h.advance(time.Millisecond).replyToHold(nil)
	h.is.Equal(len(fx.Starts), 1)
}

// Guards against issue 16: a start whose hold fails has not run, and must not be reported as lost.
func TestStartWhoseHoldFailsIsNotRun(t *testing.T) {
	h := newHarness(t)
	h.refuseFirstHolds(maxFailedHolds)
	h.advance(2 * time.Second).step(StartRequested{Run: testRun(9)})
	fx := h.advance(200 * time.Millisecond).failHold()
	h.is.Equal(len(fx.Finished), 1)
	h.is.Equal(fx.Finished[0].State, port.TaskNotRun)
}
