package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"redwingpulley/kernel/port"
)

// Guards against two runs of a task: a member ordered a start, got no answer and died. The endpoint carried the start out 2.2 s later,
// with a lease from then, beside the run of the job that its caller had sent again, since the next holder had no task for it.
func TestLateStartOfADeadMemberIsRefusedOnceTheNextHolderHasFencedTheEndpoint(t *testing.T) {
	is := is.New(t)
	endpoint := newFakeEndpoint()
	endpoint.grants = true
	dead := newHarness(t)
	dead.step(StartRequested{Run: testRun(0)})
	late := dead.advance(time.Millisecond).replyToHold(nil).Starts[0]

	next := newHarness(t)
	hold := next.advance(time.Second).step(FenceRequested{}).Hold
	is.True(hold != nil)
	is.Equal(hold.Until, int64(0)) // There is nothing to be kept running.
	endpoint.now = next.now
	next.step(HoldReplied{endpoint.hold(0, *hold)})
	is.Equal(endpoint.start(late).State, port.OrderFenced)
	is.True(next.machine.Idle())
}

func TestFenceIsRepeatedUntilTheEndpointHasCarriedItOut(t *testing.T) {
	h := newHarness(t)
	is := h.is
	h.step(FenceRequested{})
	for range 3 {
		fx := h.advance(200 * time.Millisecond).failHold()
		is.True(fx.Hold != nil)
	}
	fx := h.advance(time.Millisecond).replyToHold(nil)
	is.Equal(fx.Hold, nil)
	_, armed := h.machine.NextTimer(h.now)
	is.True(!armed)
}

// Guards against owners that lose their leases, and refuse jobs for seconds, when a partition heals: a member on the other side had
// taken them for dead and tried to fence their endpoints all the while.
func TestFenceOfAnUnreachableEndpointIsGivenUp(t *testing.T) {
	h := newHarness(t)
	is := h.is
	h.step(FenceRequested{})
	fx := h.advance(fencePatience).failHold()
	is.Equal(fx.Hold, nil)
	_, armed := h.machine.NextTimer(h.now)
	is.True(!armed)
}

// Guards against a fence that counts although the endpoint has carried out the hold before the request: the dead member may have
// taken a higher token since.
func TestHoldThatWasSentBeforeTheRequestDoesNotFence(t *testing.T) {
	h := newRunningHarness(t, 1)
	is := h.is
	h.advance(10 * time.Millisecond).step(FenceRequested{})
	h.advance(10*time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone})
	is.True(h.fx.Hold != nil)
	h.advance(time.Millisecond).replyToHold(nil)
	is.True(h.machine.fence.requestedAt.IsZero())
}

// Guards against two runs of a task: the hold that was to fence a dead member was carried out by the endpoint's next incarnation, which went on
// with that member's late start for a whole lease, since nobody looked at its runs before it announced itself.
func TestFenceReachesTheNextIncarnation(t *testing.T) {
	t.Run("that answers the hold", func(t *testing.T) {
		h := newHarness(t)
		h.step(FenceRequested{})
		fx := h.advance(time.Millisecond).replace()
		h.is.True(fx.FenceSuccessor)
		h.is.Equal(fx.Successor, successor)
	})
	t.Run("that was found before the request", func(t *testing.T) {
		h := newHarness(t)
		h.step(StartRequested{Run: testRun(0)})
		h.is.True(!h.advance(time.Millisecond).replace().FenceSuccessor)
		fx := h.advance(time.Second).step(FenceRequested{})
		h.is.True(fx.FenceSuccessor)
		h.is.Equal(fx.Successor, successor)
	})
	t.Run("unless another endpoint has replaced it", func(t *testing.T) {
		h := newHarness(t)
		h.step(FenceRequested{})
		fx := h.step(HoldReplied{port.HoldReply{State: port.OrderOtherIncarnation}})
		h.is.True(!fx.FenceSuccessor)
	})
}

// Guards against runs of a member that is alive being stopped by a fence.
func TestFenceKeepsRunsThatALiveMemberClaims(t *testing.T) {
	h := newHarness(t)
	is := h.is
	h.step(FenceRequested{})
	running := []port.TaskRun{testRun(5)}
	fx := h.advance(time.Millisecond).replyToHold(running)
	is.Equal(fx.ClaimQuery.Runs, running)
	fx = h.step(Claimed{Queried: running, Claims: []Claim{{Run: testRun(5), Member: "m2"}}})
	is.Equal(len(fx.Stops), 0)
	is.Equal(fx.Hold.Until, h.clock()+1000)
}

// Guards against the same as the first test, whatever orders are late or lost, and when the endpoint starts again.
func TestNoOrderOfADeadMemberIsCarriedOutAfterAFence(t *testing.T) {
	for _, restarts := range []int{0, 3} {
		rapid.Check(t, func(t *rapid.T) {
			s := newMembersSimulation(t)
			s.fences, s.checkLateOrders = true, true
			s.endpoint.grants = true
			s.run(restarts)
		})
	}
}
