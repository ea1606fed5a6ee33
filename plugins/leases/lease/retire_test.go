package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"redwingpulley/kernel/port"
)

// ordinaryToken returns the highest token under which any member starts runs at the harness's time, if its clock is ten
// seconds ahead.
func (h *harness) ordinaryToken() uint64 {
	return uint64(h.now.Add(10*time.Second).UnixMilli()+1) << holderBits
}

// Pattern: an endpoint that this member has not called before leaves. Guards against a retirement that is reported before
// the endpoint refuses the starts of others.
func TestEndpointIsRetiredOnceItHasAcceptedATokenAboveThoseOfAllMembers(t *testing.T) {
	h := newHarness(t)
	fx := h.step(RetireRequested{})
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token < h.ordinaryToken()) // A later incarnation with the same id stays usable.
	fx = h.advance(time.Millisecond).replyToHold(nil)
	h.is.True(!h.machine.Retired())
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token > h.ordinaryToken())
	fx = h.advance(time.Millisecond).replyToHold(nil)
	h.is.True(h.machine.Retired())
	h.is.Equal(fx.Hold, nil)
	fx = h.step(StartRequested{Run: testRun(0)})
	h.is.Equal(fx.Finished, []Finished{{Run: testRun(0), State: port.TaskLeasedElsewhere, Detail: detailRetired}})
}

// Pattern: the endpoint has started again under its id, and a late message says that the earlier incarnation leaves.
// Guards against a retirement that takes the later incarnation out of use.
func TestLaterIncarnationIsNotRetired(t *testing.T) {
	h := newHarness(t)
	h.step(RetireRequested{})
	fx := h.advance(time.Millisecond).step(HoldReplied{port.HoldReply{State: port.OrderOtherIncarnation}})
	h.is.Equal(fx.Hold, nil)
	h.is.True(h.machine.Retired()) // That one starts nothing any more.
	h.is.True(h.machine.token < h.ordinaryToken())
}

// Pattern: holds that retire the endpoint get no answer. Guards against a retirement that is reported all the same, and
// against holds without end to an endpoint that is gone.
func TestRetirementIsRepeatedForAWhileAndAgainOnRequest(t *testing.T) {
	h := newHarness(t)
	sent := 0
	count := func(fx Effects) {
		if fx.Hold != nil {
			sent++
		}
	}
	count(h.step(RetireRequested{}))
	for range 40 {
		if h.machine.holdInFlight {
			count(h.advance(200 * time.Millisecond).failHold())
		}
		count(h.advance(retireRetryDelay).step(Elapsed{}))
		h.is.True(!h.machine.Retired())
	}
	h.is.True(sent >= 3)
	h.is.True(sent <= 10)
	_, armed := h.machine.NextTimer(h.now)
	h.is.True(!armed)
	h.is.True(h.step(RetireRequested{}).Hold != nil)
	h.advance(time.Millisecond).replyToHold(nil)
	h.advance(time.Millisecond).replyToHold(nil)
	h.is.True(h.machine.Retired())
}

// Pattern: the endpoint leaves while one of its runs is in progress and another is being started. Guards against a higher
// token that overtakes the start order: the endpoint would refuse it, and this member would take itself for fenced.
func TestRetirementWaitsForOrdersInFlightAndKeepsTheLease(t *testing.T) {
	h := newRunningHarness(t, 1)
	fx := h.advance(time.Millisecond).step(StartRequested{Run: testRun(1)})
	h.is.Equal(len(fx.Starts), 1)
	h.step(RetireRequested{})
	fx = h.advance(time.Millisecond).replyToHold([]port.TaskRun{testRun(0)})
	h.is.Equal(fx.Hold, nil)
	fx = h.advance(time.Millisecond).confirm(testRun(1))
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token > h.ordinaryToken())
	h.is.Equal(fx.Hold.Until, h.clock()+1000)
	h.is.Equal(fx.Hold.Wait, time.Duration(0)) // The endpoint's announcement waits for the reply.
	both := []port.TaskRun{testRun(0), testRun(1)}
	fx = h.advance(time.Millisecond).replyToHold(both)
	h.is.True(h.machine.Retired())
	h.is.True(fx.Hold != nil && fx.Hold.Wait > 0)
	fx = h.advance(100*time.Millisecond).replyToHold(nil, port.RunEnd{Number: 1, Run: testRun(0), How: port.TaskDone}, port.RunEnd{Number: 2, Run: testRun(1), How: port.TaskDone})
	h.is.Equal(len(fx.Finished), 2)
}

// Pattern: a run that another member waits for is in progress at an endpoint that this member has retired. Guards against
// its lease ending: the other member cannot extend it any more.
func TestRetiredEndpointIsHeldUntilRunsOfOthersHaveEnded(t *testing.T) {
	h := newHarness(t)
	h.step(RetireRequested{})
	running := []port.TaskRun{testRun(5)}
	fx := h.advance(time.Millisecond).replyToHold(running)
	h.is.Equal(fx.ClaimQuery.Runs, running)
	h.is.Equal(fx.Hold, nil) // The lease is extended as soon as it is known that somebody waits for the run.
	fx = h.step(Claimed{Queried: running, Claims: []Claim{{Run: testRun(5), Member: "m2"}}})
	h.is.Equal(fx.Hold.Until, h.clock()+1000)
	for range 5 {
		fx = h.advance(350 * time.Millisecond).replyToHold(running)
		h.is.Equal(fx.ClaimQuery.Runs, running)
		fx = h.step(Claimed{Queried: running, Claims: []Claim{{Run: testRun(5), Member: "m2"}}})
		h.is.Equal(fx.Hold.Until, h.clock()+1000)
	}
	end := port.RunEnd{Number: 1, Run: testRun(5), How: port.TaskDone}
	fx = h.advance(100*time.Millisecond).replyToHold(nil, end)
	h.is.Equal(fx.ForwardEnds, []ForwardedEnd{{end, "m2"}})
	h.advance(time.Second).step(Elapsed{})
	h.advance(time.Millisecond).replyToHold(nil) // Acknowledges the end.
	h.is.True(h.machine.Idle())
}

// Pattern: another member has taken the lease, or has retired the endpoint too, when this member is to retire it.
func TestFencedHolderRetiresEndpointWithAHigherToken(t *testing.T) {
	h := newHarness(t)
	h.step(RetireRequested{})
	fx := h.advance(time.Millisecond).fence()
	h.is.True(!h.machine.Retired())
	h.is.True(fx.Hold != nil)
	h.is.True(fx.Hold.Token > h.ordinaryToken())
	fx = h.advance(time.Millisecond).fence() // Only another retirement has a higher one.
	h.is.True(h.machine.Retired())
	h.is.Equal(fx.Hold, nil)
}

// Guards against a member that reports an endpoint as retired which still accepts the orders of others, whatever orders are
// late or lost.
func TestStartsOfOtherMembersAreRefusedAfterRetirement(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.run(0, func() {
			if !s.machine(s.known).Retired() {
				return
			}
			s.endpoint.now = s.now
			ordinary := uint64(s.now.Add(10*time.Second).UnixMilli()) << holderBits
			is.Equal(s.endpoint.start(port.StartOrder{Run: testRun(-1), Token: ordinary}).State, port.OrderFenced)
		})
	})
}
