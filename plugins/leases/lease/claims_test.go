package lease

import (
	"testing"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against two runs of a task: a holder that does not reach an endpoint takes its lease for expired, while the
// next holder has extended it for a run that it was only about to stop.
func TestLeaseIsNotExtendedWhileARunIsListedThatNobodyWaitsFor(t *testing.T) {
	h := newHarness(t)
	running := []port.TaskRun{testRun(5)}
	h.step(StartRequested{Run: testRun(0)})
	fx := h.advance(time.Millisecond).replyToHold(running)
	h.is.Equal(fx.ClaimQuery.Runs, running)
	h.is.Equal(len(fx.Starts), 0) // A start extends the lease, too.
	h.is.True(fx.Hold == nil || fx.Hold.Until == 0)
	fx = h.advance(time.Millisecond).step(Claimed{Queried: running})
	h.is.Equal(fx.Stops[0].Run, testRun(5))
	h.is.Equal(len(fx.Starts), 0)
	h.is.True(fx.Hold != nil)
	h.is.Equal(fx.Hold.Until, int64(0))
	fx = h.advance(100 * time.Millisecond).replyToHold(running) // The stop was lost.
	h.is.Equal(fx.Stops[0].Run, testRun(5))
	h.is.Equal(len(fx.Starts), 0)
	fx = h.advance(time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(5), How: port.TaskStopped})
	h.is.Equal(len(fx.Starts), 1)
	h.is.True(fx.Hold.Until > 0)
}

// Guards against a task that starts again while its earlier run is at work: the next holder of the lease lets the run
// continue, and the run was reported as lost as soon as it was to be stopped, before or after the lease had moved.
func TestRunThatIsStoppedAfterAHandoverFinishesWhenItsEndIsKnown(t *testing.T) {
	fenced := HoldReplied{port.HoldReply{State: port.OrderFenced}}
	for _, events := range [][]Event{{fenced, StopRequested{testRun(0)}}, {StopRequested{testRun(0)}, fenced}} {
		h := newRunningHarness(t, 1)
		for _, e := range events {
			h.is.Equal(len(h.step(e).Finished), 0)
		}
		fx := h.advance(100 * time.Millisecond).step(EndForwarded{port.RunEnd{Run: testRun(0), How: port.TaskStopped}})
		h.is.Equal(fx.Finished, []Finished{{Run: testRun(0), State: port.TaskStopped, Detail: "ended stopped", TimeUnknown: true}})
	}
}

// Guards against a run that goes on after the member that waits for it has died, or wants it stopped: the holder of the
// lease asked for claims only once.
func TestClaimsAreRenewedUntilTheRunHasEnded(t *testing.T) {
	running := []port.TaskRun{testRun(5)}
	for _, second := range [][]Claim{nil, {{Run: testRun(5), Member: "n2", Stop: true}}} {
		h := newHarness(t)
		h.step(StartRequested{Run: testRun(0)})
		h.advance(time.Millisecond).replyToHold(running)
		fx := h.step(Claimed{Queried: running, Claims: []Claim{{Run: testRun(5), Member: "n2"}}})
		h.is.Equal(len(fx.Starts), 1)
		h.is.True(fx.Hold.Wait < claimValidity)
		h.confirm(testRun(0))
		fx = h.advance(claimRenewal).replyToHold([]port.TaskRun{testRun(0), testRun(5)})
		h.is.Equal(fx.ClaimQuery.Runs, running)
		h.is.Equal(fx.ClaimQuery.Members, []model.NodeID{"n2"})
		h.is.Equal(len(h.advance(claimValidity).step(StartRequested{Run: testRun(1)}).Starts), 0) // The claim is out of date.
		fx = h.step(Claimed{Queried: running, Claims: second})
		h.is.Equal(len(fx.Stops), 1)
		h.is.Equal(fx.Hold.Until, int64(0))
		end := port.RunEnd{Number: 1, Run: testRun(5), How: port.TaskStopped}
		fx = h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)}, end)
		h.is.Equal(fx.ForwardEnds, []ForwardedEnd{{end, "n2"}})
		h.is.Equal(len(fx.Starts), 1)
	}
}

// Guards against a task that never starts again because the end of its run, which was handed over, is not forwarded.
func TestHandedOverRunFinishesOnceNobodyCanHaveExtendedItsLease(t *testing.T) {
	h := newRunningHarness(t, 1)
	higher := h.machine.token + 1<<holderBits
	for range 20 { // Two seconds.
		h.is.Equal(len(h.advance(100*time.Millisecond).step(TakenOver{Token: higher, Running: []port.TaskRun{testRun(0)}}).Finished), 0)
	}
	claimed := h.now
	at, armed := h.machine.NextTimer(h.now)
	h.is.True(armed)
	h.now = at
	fx := h.step(Elapsed{})
	h.is.Equal(fx.Finished[0].State, port.TaskLost)
	h.is.True(h.now.Sub(claimed) >= claimValidity+1020*time.Millisecond) // The holder's lease, by a clock that is 2% slow.
	h.is.True(h.now.Sub(claimed) < 1500*time.Millisecond)
}

// Guards against a task that does not start again for as long as an order may be under way, although the next holder has listed
// its run.
func TestRunThatTheNextHolderHasListedFinishesWithItsClaim(t *testing.T) {
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	h.advance(time.Millisecond).replyToHold(nil)
	h.advance(200 * time.Millisecond).step(StartReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
	h.step(TakenOver{Token: h.machine.token + 1<<holderBits, Running: []port.TaskRun{testRun(0)}})
	end, bounded := h.machine.endedBy(h.machine.runs[testRun(0)])
	h.is.True(bounded)
	h.is.True(end.Sub(h.now) < 1500*time.Millisecond)
}

// Guards against a second fencing under a token that was refused, and against a run that a member waits for in vain although
// it holds the lease again.
func TestMemberThatTakesTheLeaseBackKeepsItsRun(t *testing.T) {
	h := newRunningHarness(t, 1)
	refused := h.machine.token
	higher := refused + 1<<holderBits
	for range 31 { // Three seconds, until the lease may be taken back.
		h.step(TakenOver{Token: higher, Running: []port.TaskRun{testRun(0)}})
		h.advance(100 * time.Millisecond)
	}
	h.fence() // The hold that was in flight.
	h.advance(testConfig.FencedBackoff - claimValidity).step(TakenOver{Token: higher, Running: []port.TaskRun{testRun(0)}})
	fx := h.advance(claimValidity).step(StartRequested{Run: testRun(1)})
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token > higher)
	fx = h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.is.Equal(fx.ClaimQuery.Runs, nil)
	fx = h.advance(time.Millisecond).step(StopRequested{testRun(0)})
	h.is.Equal(fx.Stops[0].Run, testRun(0))
}

// Guards against two runs of a task: the orders to stop a run are lost, while holds that arrive keep it at work until its
// caller has sent the job again to another member.
func TestLeaseIsNotExtendedForARunThatDoesNotStop(t *testing.T) {
	h := newRunningHarness(t, 2)
	both := []port.TaskRun{testRun(0), testRun(1)}
	h.step(StopRequested{testRun(0)})
	for waited := time.Duration(0); waited < 3*stopPatience; waited += stopPatience / 2 {
		h.step(StopReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
		fx := h.replyToHold(both)
		h.is.Equal(fx.Hold.Until > 0, waited <= stopPatience)
		h.advance(stopPatience / 2)
	}
	h.is.Equal(len(h.step(StartRequested{Run: testRun(2)}).Starts), 0)
	fx := h.replyToHold([]port.TaskRun{testRun(1)}, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskStopped})
	h.is.True(fx.Hold.Until > 0)
	h.is.Equal(len(fx.Starts), 1)
}

// Guards against a reply to one query for claims that counts as the reply to the next one: its claims would seem newer than they
// are, and the lease would be extended for a run that its member no longer waits for.
func TestNextQueryForClaimsWaitsForTheReplyToTheFormerOne(t *testing.T) {
	h := newRunningHarness(t, 1)
	both := []port.TaskRun{testRun(0), testRun(5)}
	h.is.Equal(h.advance(time.Millisecond).replyToHold(both).ClaimQuery.Runs, both[1:])
	h.step(StopRequested{testRun(0)})
	h.step(StopReplied{testRun(0), port.OrderReply{State: port.OrderFenced}})
	h.is.Equal(h.advance(time.Millisecond).step(RetireRequested{}).Hold, nil) // Its list would be the reason for a query.
	fx := h.advance(time.Millisecond).step(Claimed{Queried: both[1:], Claims: []Claim{{Run: testRun(5), Member: "m2"}}})
	h.is.True(fx.Hold != nil)
	h.is.Equal(h.advance(100*time.Millisecond).replyToHold(both).ClaimQuery.Runs, both[1:])
}

// Guards against orders that a member sends to an endpoint whose lease another one holds, under a token that is refused: a stop
// without an answer was repeated after the lease had been handed over.
func TestStopIsNotRepeatedOnceTheLeaseIsHandedOver(t *testing.T) {
	h := newRunningHarness(t, 1)
	h.is.Equal(len(h.step(StopRequested{testRun(0)}).Stops), 1)
	h.advance(time.Millisecond).fence()
	h.advance(100 * time.Millisecond).step(StopReplied{testRun(0), port.OrderReply{State: port.OrderUnknown}})
	fx := h.advance(2 * retryDelay).step(Elapsed{})
	h.is.Equal(len(fx.Stops), 0)
}
