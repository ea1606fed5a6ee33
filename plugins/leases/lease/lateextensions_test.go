package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/port"
)

// newRetiringHarness returns a harness with one run whose hold under the retiring token, which extends the lease, is in flight.
func newRetiringHarness(t *testing.T) (h *harness, running []port.TaskRun) {
	h = newRunningHarness(t, 1)
	running = []port.TaskRun{testRun(0)}
	h.replyToHold(running)
	h.step(RetireRequested{})
	h.advance(time.Millisecond).replyToHold(running)
	h.is.True(h.machine.hasRetiringToken())
	h.is.True(h.fx.Hold.Until > 0)
	return h, running
}

// Guards against two runs of a task at an endpoint that leaves: a hold under the retiring token, which extends the lease before the endpoint is
// known to have accepted that token, got no answer. Once a later one was answered, it was left out of account, and arrived afterwards.
func TestLateHoldUnderTheRetiringTokenMayExtendTheLease(t *testing.T) {
	h, running := newRetiringHarness(t)
	late := h.now
	h.advance(200 * time.Millisecond).failHold()
	for h.now.Before(late.Add(minOrderDelay)) {
		if !h.machine.holdInFlight {
			h.advance(retireRetryDelay).step(Elapsed{})
		}
		h.advance(100 * time.Millisecond).replyToHold(running)
	}
	for h.now.Before(late.Add(MaxOrderDelay)) { // The endpoint is cut off. The hold may extend the lease at any moment of this.
		h.advance(200 * time.Millisecond)
		if h.machine.holdInFlight {
			h.failHold()
		} else {
			h.step(Elapsed{})
		}
		h.is.Equal(len(h.fx.Finished), 0)
	}
}

// answerHold lets an endpoint carry out the hold in flight a millisecond after it was sent.
func (h *harness) answerHold(endpoint *fakeEndpoint) Effects {
	h.advance(time.Millisecond)
	endpoint.now = h.now
	return h.step(HoldReplied{endpoint.hold(0, *h.fx.Hold)})
}

// Guards against two runs of a task: a hold got no answer, and the endpoint carried it out seconds later, with a lease from then, though it had
// answered others since. It was cut off by then, so that the run went on that its caller had given up, beside that of the job sent again.
func TestLateHoldIsRefusedOnceTheEndpointHasAnsweredAgain(t *testing.T) {
	is := is.New(t)
	endpoint := newFakeEndpoint()
	endpoint.grants = true
	h := newHarness(t)
	h.step(StartRequested{Run: testRun(0)})
	start := h.answerHold(endpoint).Starts[0]
	late := *h.fx.Hold
	is.True(late.Until > 0)
	h.step(StartReplied{testRun(0), endpoint.start(start)})
	h.advance(200 * time.Millisecond).failHold()
	h.advance(retryDelay).step(Elapsed{})
	h.answerHold(endpoint)
	h.answerHold(endpoint)
	is.True(h.fx.Hold.Until > 0) // The lease goes on under the new token.
	is.True(h.machine.Pending(testRun(0)))

	h.advance(3 * time.Second)
	endpoint.now = h.now
	is.Equal(endpoint.hold(0, late).State, port.OrderFenced)
}

// latestEnd returns the time by which run 0 has certainly ended.
func (h *harness) latestEnd() time.Time {
	h.is.Helper()
	at, bounded := h.machine.endedBy(h.machine.runs[testRun(0)])
	h.is.True(bounded)
	return at
}

// Guards against two runs of a task: a query for claims that was overtaken by a later one erased what that had said about late orders.
func TestOvertakenQueryForClaimsDoesNotEraseLateOrders(t *testing.T) {
	running := []port.TaskRun{testRun(0)}
	for _, earlier := range []uint64{1, 2} { // That of a former holder, and one of the same holder.
		h := newRunningHarness(t, 1)
		token := h.machine.token
		h.step(TakenOver{Token: token + 2<<holderBits, Running: running, LateExtensionsFor: 10 * time.Second})
		until := h.now.Add(10*time.Second + testConfig.MaxLease)
		h.advance(10 * time.Millisecond).step(TakenOver{Token: token + earlier<<holderBits, Running: running})
		h.is.True(!h.latestEnd().Before(until))
	}
}

// Guards against tasks that wait for 12 s where nothing can happen any more: a start that was sent under a lower token than the endpoint
// has accepted since is refused when it arrives.
func TestUnansweredStartUnderALowerTokenThanTheAcceptedOneExtendsNothing(t *testing.T) {
	h := newRunningHarness(t, 1)
	running := []port.TaskRun{testRun(0)}
	h.replyToHold(running)
	h.step(StartRequested{Run: testRun(1)})
	h.is.Equal(len(h.fx.Starts), 1)
	h.replyToHold(running)
	h.machine.replaceToken(h.now) // As for a fence.
	h.advance(10 * time.Millisecond).replyToHold(running)
	h.advance(10 * time.Millisecond).replyToHold(running)
	h.is.True(h.machine.tokenAccepted)
	h.advance(180 * time.Millisecond).step(StartReplied{testRun(1), port.OrderReply{State: port.OrderUnknown}})
	h.is.Equal(h.machine.lateExtensionsFor(h.now.Add(3*time.Second)), time.Duration(0))
}

// Guards against two runs of a task: a late order of one holder had extended the lease just before the next holder listed the run, which
// was taken for ended with that holder's first query.
func TestRunThatALateOrderOfAFormerHolderHasExtendedIsNotOverWithTheNextHoldersQuery(t *testing.T) {
	running := []port.TaskRun{testRun(0)}
	h := newRunningHarness(t, 1)
	token := h.machine.token
	h.step(TakenOver{Token: token + 1<<holderBits, Running: running, LateExtensionsFor: 10 * time.Second})
	h.advance(100 * time.Millisecond).step(StopRequested{testRun(0)})
	h.advance(3 * time.Second).step(TakenOver{Token: token + 2<<holderBits, Running: running})
	h.is.Equal(len(h.fx.Finished), 0)
	h.is.True(!h.latestEnd().Before(h.now.Add(testConfig.MaxLease)))
}

// Guards against two runs of a task at an endpoint that leaves: another member held the lease under a token below the retiring one, so that a
// hold under that one, without an answer, still arrived and extended the lease. It had been left out of account with the other's first query.
func TestLateHoldUnderTheRetiringTokenMayExtendTheLeaseOfAnotherHolder(t *testing.T) {
	h, running := newRetiringHarness(t)
	late, other := h.now, h.machine.acceptedToken+1<<holderBits
	h.is.True(other < h.fx.Hold.Token)
	h.advance(100 * time.Millisecond).step(TakenOver{Token: other, Running: running})
	h.advance(100 * time.Millisecond).failHold()
	for h.now.Before(late.Add(minOrderDelay + 100*time.Millisecond)) {
		h.advance(100 * time.Millisecond).step(TakenOver{Token: other, Running: running})
	}
	h.is.True(!h.latestEnd().Before(late.Add(MaxOrderDelay + testConfig.MaxLease)))
}
