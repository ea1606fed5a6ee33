package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const successor = model.EndpointID("e@2")

// replace reports to the harness's machine that the successor has answered its hold.
func (h *harness) replace() Effects {
	return h.step(HoldReplied{port.HoldReply{State: port.OrderOtherIncarnation, Incarnation: successor}})
}

// newSuccessorHarness returns a harness of the successor's machine after a request to settle run 0, whose start was
// sent with the given token.
func newSuccessorHarness(t *testing.T, token uint64) *harness {
	h := newHarness(t)
	h.step(SettleRequested{Run: testRun(0), Token: token})
	return h
}

// Guards against issue 24: a run that the replaced incarnation had confirmed but not listed was reported as lost, although
// the confirmation may have been its successor's.
func TestUnlistedRunOfReplacedIncarnationIsSettledAtSuccessor(t *testing.T) {
	h := newRunningHarness(t, 1)
	fx := h.replace()
	h.is.Equal(len(fx.Finished), 0)
	h.is.Equal(fx.Successor, successor)
	h.is.Equal(fx.Settle, []SettleRequested{{Run: testRun(0), Token: h.machine.token}})
	h.is.True(h.machine.Pending(testRun(0)))
	fx = h.step(Settled{Finished{Run: testRun(0), State: port.TaskNotRun}})
	h.is.Equal(fx.Finished[0].State, port.TaskLost) // It may have run at the replaced incarnation.
}

func TestListedRunOfReplacedIncarnationIsLost(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	fx := h.replace()
	h.is.Equal(fx.Finished[0].State, port.TaskLost)
	h.is.Equal(len(fx.Settle), 0)
}

// Guards against runs that wait until their deadline: the successor has fenced the machine of the replaced incarnation, which
// gets no other reply any more.
func TestAnnouncedSuccessorSettlesRunsOfFencedHolder(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.fence()
	fx := h.step(Replaced{successor})
	h.is.Equal(len(fx.Settle), 1)
}

func TestStopOfRunThatIsSettledGoesToSuccessor(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.replace()
	fx := h.step(StopRequested{testRun(0)})
	h.is.Equal(fx.SettleStops, []port.TaskRun{testRun(0)})
	h.is.Equal(len(fx.Stops), 0)
}

func TestSettledRunThatSuccessorListsIsStoppedFirst(t *testing.T) {
	const token = uint64(1) << 60 // Above any token made of the time.
	h := newSuccessorHarness(t, token)
	h.is.True(h.fx.Hold.Token > token) // The start is not carried out after this hold.
	fx := h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.is.Equal(len(fx.Finished), 0)
	h.is.Equal(len(fx.Stops), 1)
	fx = h.advance(time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskStopped})
	h.is.Equal(fx.Finished[0].State, port.TaskLost)
}

func TestSettledRunThatSuccessorDoesNotListHasNotRunThere(t *testing.T) {
	h := newSuccessorHarness(t, 1)
	fx := h.advance(time.Millisecond).replyToHold(nil)
	h.is.Equal(fx.Finished[0].State, port.TaskNotRun)
}

func TestListUnderLowerTokenDoesNotSettle(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(1)})
	h.step(SettleRequested{Run: testRun(0), Token: h.machine.token})
	fx := h.advance(time.Millisecond).replyToHold(nil) // Of the hold that was sent before.
	h.is.Equal(len(fx.Finished), 0)
	fx = h.advance(time.Millisecond).replyToHold(nil)
	h.is.Equal(fx.Finished[0].Run, testRun(0))
}

// Guards against a task that runs again although its run is done: the end arrived before the run was settled.
func TestRunThatEndedBeforeItIsSettledIsReportedWithItsEnd(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(1)})
	h.advance(time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	fx := h.step(SettleRequested{Run: testRun(0)})
	h.is.Equal(fx.Finished[0].State, port.TaskDone)
}

func TestRunIsSettledAtTheLastOfSeveralSuccessors(t *testing.T) {
	h := newSuccessorHarness(t, 1)
	fx := h.step(HoldReplied{port.HoldReply{State: port.OrderOtherIncarnation, Incarnation: "e@3"}})
	h.is.Equal(len(fx.Finished), 0)
	h.is.Equal(fx.Successor, model.EndpointID("e@3"))
	h.is.Equal(len(fx.Settle), 1)
}

// Guards against issue 24: the start that was meant for an earlier incarnation arrived late, and its run was reported as lost
// when the lease would have expired that it extends only on arrival.
func TestRunThatMayStillStartAtTheNextIncarnationDoesNotEndWithTheLease(t *testing.T) {
	h := newHarness(t)
	h.step(SettleRequested{Run: testRun(0), Token: 1})
	h.failHolds() // For longer than a lease.
	h.is.True(h.machine.Pending(testRun(0)))
	h.advance(retryDelay).step(Elapsed{})
	h.is.True(h.machine.holdInFlight)
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.is.Equal(len(h.fx.Stops), 1)
	for range 4 { // For less than a lease, which the start may have extended just before the list.
		h.advance(200 * time.Millisecond).failHold()
		h.advance(retryDelay).step(Elapsed{})
	}
	h.is.True(h.machine.Pending(testRun(0)))
}

// Guards against a run that never ends for its pool: the next incarnation has gone, too, and nobody can tell.
func TestRunAtAnIncarnationThatNeverAnswersIsLostOnceNoOrderCanArriveAnyMore(t *testing.T) {
	h := newHarness(t)
	h.step(SettleRequested{Run: testRun(0), Token: 1})
	for h.now.Before(startTime.Add(MaxOrderDelay + 2*time.Second)) {
		h.failHolds()
	}
	h.is.True(!h.machine.Pending(testRun(0)))
	_, armed := h.machine.NextTimer(h.now)
	h.is.True(!armed)
}

// Guards against issue 24: the same where a hold that was sent before the request lists the run, and no later one is answered.
func TestRunThatALateStartHasBegunDoesNotEndBeforeItsLease(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.step(SettleRequested{Run: testRun(5), Token: h.machine.token + 1<<holderBits})
	h.advance(900 * time.Millisecond).replyToHold([]port.TaskRun{testRun(0), testRun(5)})
	for range 2 {
		h.advance(200 * time.Millisecond).failHold()
		h.advance(retryDelay).step(Elapsed{})
	}
	h.is.True(h.machine.Pending(testRun(5)))
}

// Guards against two runs of a task: a start without an answer was carried out late by the next incarnation, whose clock says
// nothing about the lease that the start asks for, after its run had been reported as lost with the lease.
func TestUnansweredStartThatTheNextIncarnationMayCarryOutDoesNotEndWithTheLease(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.replyToHold([]port.TaskRun{testRun(0)})
	sentAt := h.now
	h.is.Equal(len(h.step(StartRequested{Run: testRun(1)}).Starts), 1)
	h.advance(200 * time.Millisecond).step(StartReplied{testRun(1), port.OrderReply{State: port.OrderUnknown}})
	h.failHolds()                             // For longer than a lease.
	h.is.True(!h.machine.Pending(testRun(0))) // The endpoint has listed this one, so that it ends with its incarnation.
	h.is.True(h.machine.Pending(testRun(1)))
	for range 4 {
		h.failHolds()
	}
	h.is.True(!h.machine.Pending(testRun(1)))
	h.is.True(h.now.Sub(sentAt) >= MaxOrderDelay+time.Second)
	_, armed := h.machine.NextTimer(h.now)
	h.is.True(!armed)
}

// Guards against two runs of a task: endpoints carry out orders up to 12 s late, and the run was reported as lost after 6 s.
func TestUnansweredStartIsNotLostWhileItMayStillBeCarriedOut(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.step(StartRequested{Run: testRun(1)})
	latestArrival := h.now.Add(12 * time.Second)
	h.advance(200 * time.Millisecond).step(StartReplied{testRun(1), port.OrderReply{State: port.OrderUnknown}})
	for h.now.Before(latestArrival.Add(time.Second)) {
		h.is.True(h.machine.Pending(testRun(1)))
		h.advance(200 * time.Millisecond).failHold()
		h.advance(retryDelay).step(Elapsed{})
	}
}

// Guards against the same with another run, which the next incarnation has confirmed: a lease is one for all runs there.
func TestRunDoesNotEndWithTheLeaseThatALateStartOfAnotherMayExtend(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	h.step(StartRequested{Run: testRun(1)})
	h.advance(time.Millisecond).replyToHold(nil)
	h.advance(time.Millisecond).step(StartReplied{testRun(0), port.OrderReply{State: port.OrderDone, Clock: h.clock()}})
	h.advance(200 * time.Millisecond).step(StartReplied{testRun(1), port.OrderReply{State: port.OrderUnknown}})
	h.failHolds() // For longer than a lease.
	h.is.True(h.machine.Pending(testRun(0)))
}

// Guards against the same with a hold that the next incarnation may carry out late.
func TestUnlistedRunDoesNotEndWithTheLeaseThatALateHoldMayExtend(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.failHolds() // For longer than a lease.
	h.is.True(h.machine.Pending(testRun(0)))
	for range 3 {
		h.failHolds()
	}
	h.is.True(!h.machine.Pending(testRun(0)))
}

// Guards against the same with a start whose reply came, from the next incarnation, just before its lease would have ended.
func TestConfirmedRunDoesNotEndBeforeTheLeaseThatItsStartExtendedOnArrival(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold(nil)
	h.advance(200 * time.Millisecond).step(StartReplied{testRun(0), port.OrderReply{State: port.OrderDone, Clock: h.clock()}})
	confirmed := h.now
	h.step(HoldReplied{port.HoldReply{State: port.OrderFenced}})
	end, _ := h.machine.endedBy(h.machine.runs[testRun(0)])
	h.is.True(end.Sub(confirmed) >= 1020*time.Millisecond)
}

// Guards against the same with a hold that the next incarnation has carried out late, just before it refused this member's token.
func TestHandedOverRunDoesNotEndBeforeTheLeaseThatALateHoldExtendedOnArrival(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.advance(400 * time.Millisecond).step(StopRequested{testRun(0)})
	refused := h.now
	h.step(StopReplied{testRun(0), port.OrderReply{State: port.OrderFenced}})
	end, _ := h.machine.endedBy(h.machine.runs[testRun(0)])
	h.is.True(end.Sub(refused) >= 1020*time.Millisecond)
}

// Guards against the same where another member holds the lease at the next incarnation, so that its refusal of the hold comes
// after the start was carried out there.
func TestSettledRunDoesNotEndBeforeItsLeaseWhenTheSuccessorIsFenced(t *testing.T) {
	h := newSuccessorHarness(t, 1)
	fx := h.advance(600 * time.Millisecond).step(HoldReplied{port.HoldReply{State: port.OrderFenced}})
	h.is.Equal(len(fx.Finished), 0)
	h.advance(time.Second).step(Elapsed{}) // The start may have extended the lease just before the refusal.
	h.is.True(h.machine.Pending(testRun(0)))
}

// Guards against a run that keeps its lease although nobody waits for it any more: it was to be stopped before the endpoint's next
// incarnation was known, and the orders to stop it there are lost.
func TestRunThatWasToBeStoppedIsSettledAsOneThatIsToBeStopped(t *testing.T) {
	former := newRunningHarness(t, 1)
	former.step(StopRequested{testRun(0)})
	request := former.replace().Settle[0]
	h := newHarness(t)
	h.step(request)
	h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.advance(2 * stopPatience).replyToHold([]port.TaskRun{testRun(0)})
	h.is.Equal(h.fx.Hold.Until, int64(0))
}

// Guards against two runs of a task: a run that is being settled at the next incarnation was reported as lost, since a hold for the
// earlier one was refused. The refusal may be due to the token under which this member's machine of the next incarnation extends
// the lease.
func TestRunThatIsBeingSettledDoesNotEndWhenALateHoldIsRefused(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.step(Replaced{successor}) // A hold is in flight.
	h.advance(time.Millisecond).fence()
	fx := h.advance(10 * time.Second).step(Elapsed{})
	h.is.Equal(len(fx.Finished), 0)
	fx = h.step(Settled{Finished{Run: testRun(0), State: port.TaskDone}})
	h.is.Equal(fx.Finished[0].State, port.TaskDone)
}
